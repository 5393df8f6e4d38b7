import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";

/** This process's share of the object API's rate limits, and its limits while the API is down or slow. */
export interface BudgetedStoreOptions {
    clock: Clock;
    random: Random;
    readsPerSecond: number;
    writesPerSecond: number;
    /** Time without a response after which a call fails; the wait of a watch is added to it. */
    callTimeoutMs?: number;
    /** Maximum number of waiting calls of each kind (read, write, watch). */
    maxWaiting?: number;
    maxWaitMs?: number;
    /** Maximum number of concurrent calls of each kind; watches are not limited. */
    maxInFlight?: number;
}
