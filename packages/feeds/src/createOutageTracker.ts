import type { Clock } from "@auburnarch/types/Clock";
import type { OutageTracker } from "./OutageTracker.js";

interface OutageTrackerDeps {
    /** Milliseconds since this process's calls began to fail without any success since; 0 while calls succeed. */
    storeSilentMs: () => number;
    /** Milliseconds since this process's calls began to succeed again after failures; infinite if none has failed. */
    sinceStoreRecoveryMs: () => number;
    clock: Clock;
}

const checkMs = 200;
/** Longest time between two processes' detection of the same outage. */
const maxDetectionGapMs = 1_000;

/** Creates the outage tracker of one process. */
export function createOutageTracker(
    { storeSilentMs, sinceStoreRecoveryMs, clock }: OutageTrackerDeps,
): OutageTracker {
    let outageAtMs = -Infinity;

    /** An outage that runners reported lasts for as long as this process can't use the store either. */
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
        // If this process reaches the store, the store is up, regardless of reports from runners that do not.
        sinceOutageMs: () =>
            Math.max(clock.monotonicMs() - outageAtMs, storeSilentMs() > 0 ? 0 : sinceStoreRecoveryMs()),
        recordOutage: sinceOutageMs => {
            outageAtMs = clock.monotonicMs() - sinceOutageMs;
        },
        recordStoreUp: () => {
            outageAtMs = -Infinity;
        },
    };
}
