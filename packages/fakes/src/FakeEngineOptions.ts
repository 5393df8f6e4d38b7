import type { Clock } from "@auburnarch/types/Clock";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Capabilities and speed of a fake engine. */
export interface FakeEngineOptions {
    clock: Clock;
    random: Random;
    /** Policies and versions served at the first start. */
    served: { policy: PolicyId; version: WeightVersion; }[];
    maxBatch?: number;
    /** Tokens per second of a single generation with nothing else in the batch. */
    tokensPerSecond?: number;
    prefillTokensPerSecond?: number;
    /** Slowdown of all generations for each additional one: speed is 1 / (1 + slowdown × (generations − 1)). */
    batchSlowdown?: number;
    /** Capacity of the prefix cache. */
    cacheTokens?: number;
    /** Age of the load that the engine reports. */
    reportLagMs?: number;
    /** Duration of a load order, during which generations are paused. */
    swapMs?: number;
    /** Interval at which running generations emit chunks; they also emit one before a swap and at their end. */
    chunkMs?: number;
    honoursFencing?: boolean;
    /** Whether chunks name the version that made them. */
    statesFingerprint?: boolean;
    /** Token count of the complete text of a request without a limit; must depend only on the prompt and the seed. */
    lengthOf?: (request: EngineRequest) => number;
    /** Delay of the automatic restart after a crash; if undefined the engine stays down. */
    restartAfterMs?: number;
}
