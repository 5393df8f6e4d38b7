import type { Clock } from "@auburnarch/types/Clock";
import type { OutageTracker } from "./OutageTracker.js";

interface OutageTrackerDeps {
    /** Milliseconds since the first of the calls of this process that have all failed since; 0 while calls succeed. */
    storeSilentMs: () => number;
    /** Milliseconds since calls of this process began to succeed again after failures; infinite if none failed yet. */
    storeRegainedMs: () => number;
    clock: Clock;
}

const checkMs = 200;
/** Processes notice an outage within this time of each other. */
const maxDetectionGapMs = 1_000;

/** Makes the evidence of one process. */
export function createOutageTracker(
    { storeSilentMs, storeRegainedMs, clock }: OutageTrackerDeps,
): OutageTracker {
    let outageAtMs = -Infinity;

    /** An outage that runners told of lasts for as long as this process can't use the store either. */
    function check(): void {
        const silentMs = storeSilentMs();
        const nowMs = clock.monotonicMs();
        if (silentMs > 0 && outageAtMs >= nowMs - silentMs - maxDetectionGapMs) {
            outageAtMs = nowMs;
        }
        clock.startTimer(checkMs, check);
    }

    clock.startTimer(checkMs, check);
    return {
        // A store that this process uses is up, whatever runners that have lost it say.
        sinceOutageMs: () =>
            Math.max(clock.monotonicMs() - outageAtMs, storeSilentMs() > 0 ? 0 : storeRegainedMs()),
        recordOutage: sinceOutageMs => {
            outageAtMs = clock.monotonicMs() - sinceOutageMs;
        },
        recordStoreUp: () => {
            outageAtMs = -Infinity;
        },
    };
}
