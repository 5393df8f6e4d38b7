import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";

/** This process's part of the object API's rates, and how it behaves while the API is down or slow. */
export interface BudgetedStoreOptions {
    clock: Clock;
    random: Random;
    readsPerSecond: number;
    writesPerSecond: number;
    /** Silence after which a call counts as unanswered; a watch gets its own wait on top. */
    callTimeoutMs?: number;
    /** Calls of each kind that may wait for their turn. */
    maxWaiting?: number;
    maxWaitMs?: number;
    /** Calls of each kind under way at once; watches are not counted. */
    maxInFlight?: number;
}
