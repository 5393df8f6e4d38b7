import type { Clock } from "@auburnarch/types/Clock";
import type { RetryBudget } from "./RetryBudget.js";

interface RetryBudgetOptions {
    clock: Clock;
    /** Retries and hedges allowed for each first attempt; read anew each time, so that a manifest may change it. */
    ratio: () => number;
}

/** Allowed whatever the traffic, so that a caller alone at night may retry as well. */
const floorPerSecond = 1;
/** Saved up at most; a burst of failures after a calm time must not become a storm of retries. */
const capacity = 20;

/**
 * Makes a retry budget, full at first. Without it every layer of an overloaded system repeats what failed, and
 * the repeats keep it overloaded after the cause is gone.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const { clock } = options;
    let tokens = capacity;
    let filledAtMs = clock.monotonicMs();

    function fill(): void {
        const nowMs = clock.monotonicMs();
        tokens = Math.min(capacity, tokens + floorPerSecond * (nowMs - filledAtMs) / 1_000);
        filledAtMs = nowMs;
    }

    return {
        noteFirst: () => {
            tokens = Math.min(capacity, tokens + options.ratio());
        },
        take: () => {
            fill();
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
        left: () => {
            fill();
            return Math.floor(tokens);
        },
    };
}
