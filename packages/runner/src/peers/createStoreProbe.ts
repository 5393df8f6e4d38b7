import type { Clock } from "@auburnarch/types/Clock";

interface StoreProbeDeps {
    /** A call that shows whether the store answers. */
    readStore: () => Promise<unknown>;
    /** Milliseconds since the store last answered this process. */
    sinceStoreAnswerMs: () => number;
    clock: Clock;
}

const intervalMs = 400;
/** Half the age above which an answer no longer shows that the store is reachable. */
const maxAnswerAgeMs = 300;

/**
 * Creates the probe. Without it, a runner that has made no call recently would take over batch jobs from peers that
 * have already detected a store outage.
 */
export function createStoreProbe(
    { readStore, sinceStoreAnswerMs, clock }: StoreProbeDeps,
): () => void {
    let probedAtMs = -Infinity;
    return () => {
        const nowMs = clock.monotonicMs();
        if (nowMs - probedAtMs > intervalMs && sinceStoreAnswerMs() > maxAnswerAgeMs) {
            probedAtMs = nowMs;
            readStore().catch(() => {
                // Failures are counted with all store calls; here a missing answer is all that matters.
            });
        }
    };
}
