import type { EngineDescription } from "@auburnarch/types/EngineDescription";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** What the engine serves, as far as it is known. */
export interface ServedWeights {
    state(): Exclude<SamplerReport["state"], "leaving">;
    versionOf(policy: PolicyId): WeightVersion | undefined;
    served(): { policy: PolicyId; version: WeightVersion; }[];
    description(): EngineDescription | undefined;
    /** Whether tokens of this version may come now: it is served, or being swapped in. */
    isExpected(policy: PolicyId, version: WeightVersion): boolean;
    /** Whether the engine names the version of each chunk; undefined until a chunk was seen. */
    stampsChunks(): boolean | undefined;
    recordChunk(stamped: boolean): void;
    beginSwap(policy: PolicyId, version: WeightVersion): void;
    /** Ends a swap that took effect, or one that did not begin at the engine. */
    endSwap(succeeded: boolean): void;
    /** From now on nothing is known until the engine is described again. */
    markUnknown(reason: string): void;
    markEngineDown(reason: string): void;
    /** Asks the engine once and settles what can be settled. */
    describe(): Promise<void>;
    stop(): void;
}
