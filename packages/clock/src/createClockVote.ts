import type { Clock } from "@auburnarch/types/Clock";
import type { TrueTimeEstimate } from "./TrueTimeEstimate.js";

interface Told {
    /** Its time of day less our monotonic time. */
    offsetMs: number;
    atMs: number;
}

/** What another clock said counts for this long: drift is no matter within it, a stop of this process is. */
const toldForMs = 5_000;

function medianOf(values: number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/**
 * True time as the median of the clocks of several machines, this one's among them: a time of day that jumps on fewer
 * than half of them moves it by no more than the others differ.
 */
export function createClockVote(clock: Clock): TrueTimeEstimate {
    const others = new Map<string, Told>();

    function offsetMs(): number {
        const nowMs = clock.monotonicMs();
        for (const [source, { atMs }] of others) {
            if (nowMs - atMs > toldForMs) {
                others.delete(source);
            }
        }
        return medianOf([clock.wallMs() - nowMs, ...[...others.values()].map(told => told.offsetMs)]);
    }

    return {
        nowMs: () => clock.monotonicMs() + offsetMs(),
        atMs: monotonicMs => monotonicMs + offsetMs(),
        learn: (source, toldMs, monotonicMs) =>
            void others.set(source, { offsetMs: toldMs - monotonicMs, atMs: clock.monotonicMs() }),
    };
}
