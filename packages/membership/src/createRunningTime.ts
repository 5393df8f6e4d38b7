import type { Clock } from "@auburnarch/types/Clock";

/** Running time of a process, without the time in which it was paused. */
interface RunningTime {
    /** Must be called about every `tickMs`. */
    tick(): void;
    nowMs(): number;
    /** Number of pauses of the process so far. */
    pauses(): number;
}

/** A gap between ticks of more than this many intervals counts as a pause of the process. */
const pauseThresholdTicks = 3;

/**
 * Counts monotonic time, excluding pauses of this process (paused VM, long garbage collection). Otherwise a resumed
 * process would count its own pause as silence of every other process and suspect them all.
 */
export function createRunningTime(clock: Clock, tickMs: number): RunningTime {
    const limitMs = tickMs * pauseThresholdTicks;
    let lastTickMs = clock.monotonicMs();
    let runningMs = 0;
    let pauses = 0;
    const sinceTickMs = (): number => clock.monotonicMs() - lastTickMs;
    return {
        tick: () => {
            if (sinceTickMs() > limitMs) {
                pauses++;
            }
            runningMs += Math.min(sinceTickMs(), limitMs);
            lastTickMs = clock.monotonicMs();
        },
        nowMs: () => runningMs + Math.min(sinceTickMs(), limitMs),
        pauses: () => pauses + (sinceTickMs() > limitMs ? 1 : 0),
    };
}
