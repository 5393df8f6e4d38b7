import type { Clock } from "@auburnarch/types/Clock";

interface StoreCheckDeps {
    /** A call that tells whether the store answers. */
    ask: () => Promise<unknown>;
    /** Milliseconds since the store last answered this process. */
    storeHeardMs: () => number;
    clock: Clock;
}

const intervalMs = 400;
/** Half the age from which an answer says nothing of the store any more. */
const heardLimitMs = 300;

/**
 * Makes the check. Without it a runner that has not called lately would take over from peers that know of an outage
 * already.
 */
export function createStoreCheck({ ask, storeHeardMs, clock }: StoreCheckDeps): () => void {
    let checkedAtMs = -Infinity;
    return () => {
        const nowMs = clock.monotonicMs();
        if (nowMs - checkedAtMs > intervalMs && storeHeardMs() > heardLimitMs) {
            checkedAtMs = nowMs;
            ask().catch(() => {
                // Counted where calls are counted; silence is the answer.
            });
        }
    };
}
