import type { Clock } from "@auburnarch/types/Clock";
import type { TrueTimeEstimate } from "./TrueTimeEstimate.js";

interface ClockReading {
    /** The reported time of day minus this process's monotonic time. */
    offsetMs: number;
    atMs: number;
}

/** Readings expire after this time: clock drift within it is negligible, but a pause of this process is not. */
const readingTtlMs = 5_000;

function medianOf(values: number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/**
 * Creates an estimate of true time as the median of the clocks of several machines, including this one: where the time
 * of day jumps on fewer than half of them, the estimate moves by no more than the other clocks differ.
 */
export function createMedianTime(clock: Clock): TrueTimeEstimate {
    const readings = new Map<string, ClockReading>();

    function offsetMs(): number {
        const nowMs = clock.monotonicMs();
        for (const [source, { atMs }] of readings) {
            if (nowMs - atMs > readingTtlMs) {
                readings.delete(source);
            }
        }
        return medianOf([clock.wallMs() - nowMs, ...[...readings.values()].map(reading => reading.offsetMs)]);
    }

    return {
        nowMs: () => clock.monotonicMs() + offsetMs(),
        atMs: monotonicMs => monotonicMs + offsetMs(),
        recordReading: (source, reportedMs, monotonicMs) =>
            void readings.set(source, { offsetMs: reportedMs - monotonicMs, atMs: clock.monotonicMs() }),
    };
}
