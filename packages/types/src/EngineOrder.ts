import type { FencingNumber } from "./FencingNumber.js";
import type { PolicyId } from "./PolicyId.js";
import type { WeightVersion } from "./WeightVersion.js";

/** An order to an engine. `location` is where the version is in the weight store. */
export type EngineOrder =
    | { kind: "load"; policy: PolicyId; version: WeightVersion; location: string; fencing: FencingNumber; }
    | { kind: "unload"; policy: PolicyId; fencing: FencingNumber; }
    | { kind: "setRole"; role: "prefill" | "decode" | "both"; fencing: FencingNumber; };
