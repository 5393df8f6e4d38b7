import type { Clock } from "@auburnarch/types/Clock";
import type { RetryBudget } from "./RetryBudget.js";

interface RetryBudgetOptions {
    clock: Clock;
    /** Retries and hedges allowed for each first attempt; read anew each time, so that a manifest may change it. */
    ratio: () => number;
}

/** Allowed whatever the traffic, so that a caller alone at night may retry as well. */
const minRetriesPerSecond = 1;
/** Saved up at most; a burst of failures after a calm time must not become a storm of retries. */
const maxSavedRetries = 20;

/**
 * Makes a retry budget, full at first. Without it every layer of an overloaded system repeats what failed, and
 * the repeats keep it overloaded after the cause is gone.
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
