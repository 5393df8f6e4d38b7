import type { PolicyId } from "./PolicyId.js";
import type { WeightVersion } from "./WeightVersion.js";

/** What an engine says it is; `bootId` changes when the engine restarts. */
export interface EngineDescription {
    bootId: string;
    served: { policy: PolicyId; version: WeightVersion; }[];
    maxBatch: number;
    /** Tokens a second of one generation alone. */
    tokensPerSecond: number;
    honoursFencing: boolean;
}
