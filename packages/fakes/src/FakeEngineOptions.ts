import type { Clock } from "@auburnarch/types/Clock";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** How a fake engine is built and how fast it is. */
export interface FakeEngineOptions {
    clock: Clock;
    random: Random;
    /** What it serves at the first start. */
    served: { policy: PolicyId; version: WeightVersion; }[];
    maxBatch?: number;
    /** Tokens a second of one generation alone. */
    tokensPerSecond?: number;
    prefillTokensPerSecond?: number;
    /** Each further generation in the batch slows all by this part. */
    batchSlowdown?: number;
    /** Memory of the prefix cache. */
    cacheTokens?: number;
    /** How late the load report is. */
    reportLagMs?: number;
    /** How long a load order takes; generations stand still meanwhile. */
    swapMs?: number;
    /** Interval at which running generations emit chunks; they also do at swaps and at their end. */
    chunkMs?: number;
    honoursFencing?: boolean;
    /** Whether chunks name the version that made them. */
    statesFingerprint?: boolean;
    /** Tokens of the whole text that a request leads to if nothing bounds it; the same for the same prompt and seed. */
    lengthOf?: (request: EngineRequest) => number;
    /** Restarts by itself so long after a crash; undefined stays down. */
    restartAfterMs?: number;
}
