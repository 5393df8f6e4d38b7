import type { EngineDescription } from "@auburnarch/types/EngineDescription";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Weight versions that the engine serves, as far as they are known. */
export interface ServedWeights {
    state(): Exclude<SamplerReport["state"], "leaving">;
    versionOf(policy: PolicyId): WeightVersion | undefined;
    served(): { policy: PolicyId; version: WeightVersion; }[];
    description(): EngineDescription | undefined;
    /** Whether tokens of this version may arrive now: it is served, or being swapped in. */
    isExpected(policy: PolicyId, version: WeightVersion): boolean;
    /** Whether the engine states the version of each chunk; undefined until a chunk was received. */
    stampsChunks(): boolean | undefined;
    recordChunk(stamped: boolean): void;
    beginSwap(policy: PolicyId, version: WeightVersion): void;
    /** Ends a swap that took effect, or one that did not begin at the engine. */
    endSwap(succeeded: boolean): void;
    /** Marks the served versions as unknown until the engine is described again. */
    markUnknown(reason: string): void;
    markEngineDown(reason: string): void;
    /** Requests the engine's description once and applies it unless it is out of date. */
    describe(): Promise<void>;
    stop(): void;
}
