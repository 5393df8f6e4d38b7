import type { Clock } from "@auburnarch/types/Clock";
import type { TrueTimeEstimate } from "./TrueTimeEstimate.js";

interface ClockReading {
    /** Its time of day less our monotonic time. */
    offsetMs: number;
    atMs: number;
}

/** What another clock said counts for this long: drift is no matter within it, a stop of this process is. */
const readingTtlMs = 5_000;

function medianOf(values: number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/**
 * True time as the median of the clocks of several machines, this one's among them: a time of day that jumps on fewer
 * than half of them moves it by no more than the others differ.
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
