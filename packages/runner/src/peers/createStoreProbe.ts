import type { Clock } from "@auburnarch/types/Clock";

interface StoreProbeDeps {
    /** A call that tells whether the store answers. */
    probe: () => Promise<unknown>;
    /** Milliseconds since the store last answered this process. */
    storeHeardMs: () => number;
    clock: Clock;
}

const intervalMs = 400;
/** Half the age from which an answer says nothing of the store any more. */
const maxAnswerAgeMs = 300;

/**
 * Makes the check. Without it a runner that has not called lately would take over from peers that know of an outage
 * already.
 */
export function createStoreProbe({ probe: ask, storeHeardMs, clock }: StoreProbeDeps): () => void {
    let probedAtMs = -Infinity;
    return () => {
        const nowMs = clock.monotonicMs();
        if (nowMs - probedAtMs > intervalMs && storeHeardMs() > maxAnswerAgeMs) {
            probedAtMs = nowMs;
            ask().catch(() => {
                // Counted where calls are counted; silence is the answer.
            });
        }
    };
}
