import type { Clock } from "@auburnarch/types/Clock";

/** Time in which a process was able to hear others. */
interface AwakeTime {
    /** To be called regularly, every `tickMs` or so. */
    tick(): void;
    nowMs(): number;
    /** Stretches so far in which the process stood still. */
    pauses(): number;
}

/** A tick this many times late means that the process stood still in between. */
const lateFactor = 3;

/**
 * Counts monotonic time without the stretches in which this process stood still (paused VM, long collection).
 * Without this, a process that wakes finds everybody silent for as long as it slept and suspects them all.
 */
export function createAwakeTime(clock: Clock, tickMs: number): AwakeTime {
    const limitMs = tickMs * lateFactor;
    let lastTickMs = clock.monotonicMs();
    let awakeMs = 0;
    let pauses = 0;
    const sinceTickMs = (): number => clock.monotonicMs() - lastTickMs;
    return {
        tick: () => {
            if (sinceTickMs() > limitMs) {
                pauses++;
            }
            awakeMs += Math.min(sinceTickMs(), limitMs);
            lastTickMs = clock.monotonicMs();
        },
        nowMs: () => awakeMs + Math.min(sinceTickMs(), limitMs),
        pauses: () => pauses + (sinceTickMs() > limitMs ? 1 : 0),
    };
}
