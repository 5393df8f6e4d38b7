import type { Clock } from "@auburnarch/types/Clock";
import type { RetryBudget } from "./RetryBudget.js";

interface RetryBudgetOptions {
    clock: Clock;
    /** Retries and hedges allowed per first attempt; read on every call, because a new manifest may change it. */
    ratio: () => number;
}

/** Granted regardless of traffic, so that a caller can also retry when there are few requests. */
const minRetriesPerSecond = 1;
/** Upper bound of unspent retries: a burst of failures after a quiet period must not become a retry storm. */
const maxSavedRetries = 20;

/**
 * Creates a retry budget that starts full. Without it every layer of an overloaded system retries what failed, and
 * the retries keep the system overloaded after the cause is gone.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const { clock } = options;
    let tokens = maxSavedRetries;
    let refilledAtMs = clock.monotonicMs();

    function refill(): void {
        const nowMs = clock.monotonicMs();
        tokens = Math.min(maxSavedRetries, tokens + minRetriesPerSecond * (nowMs - refilledAtMs) / 1_000);
        refilledAtMs = nowMs;
    }

    return {
        recordFirstAttempt: () => {
            tokens = Math.min(maxSavedRetries, tokens + options.ratio());
        },
        tryTake: () => {
            refill();
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
        remaining: () => {
            refill();
            return Math.floor(tokens);
        },
    };
}
