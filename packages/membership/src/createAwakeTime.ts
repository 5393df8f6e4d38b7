import type { Clock } from "@auburnarch/types/Clock";

/** Time in which a process was able to hear others. */
interface AwakeTime {
    /** To be called regularly, every `tickMs` or so. */
    tick(): void;
    nowMs(): number;
}

/** A tick this many times late means that the process stood still in between. */
const lateFactor = 3;

/**
 * Counts monotonic time without the stretches in which this process stood still (paused VM, long collection).
 * Without this, a process that wakes finds everybody silent for as long as it slept and suspects them all.
 */
export function createAwakeTime(clock: Clock, tickMs: number): AwakeTime {
    let lastTickMs = clock.monotonicMs();
    let awakeMs = 0;
    return {
        tick: () => {
            const nowMs = clock.monotonicMs();
            awakeMs += Math.min(nowMs - lastTickMs, tickMs * lateFactor);
            lastTickMs = nowMs;
        },
        nowMs: () => awakeMs + Math.min(clock.monotonicMs() - lastTickMs, tickMs * lateFactor),
    };
}
