import type { PolicyId } from "./PolicyId.js";
import type { WeightVersion } from "./WeightVersion.js";

/** An engine's description of itself; `bootId` changes when the engine restarts. */
export interface EngineDescription {
    bootId: string;
    served: { policy: PolicyId; version: WeightVersion; }[];
    maxBatch: number;
    /** Tokens per second of a single generation with nothing else in the batch. */
    tokensPerSecond: number;
    honoursFencing: boolean;
}
