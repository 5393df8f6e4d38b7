import type { PolicyId } from "./PolicyId.js";
import type { WeightVersion } from "./WeightVersion.js";

/**
 * Downloads a version from the rate-limited weight store; resolves once the transfer is complete. Rejects with
 * `weightStoreThrottled` if no download slot is free.
 */
export type WeightStore = (policy: PolicyId, version: WeightVersion, location: string) => Promise<void>;
