import type { PolicyId } from "./PolicyId.js";
import type { WeightVersion } from "./WeightVersion.js";

/** The rate-limited weight store: resolves once a download slot's transfer is over; rejects with `weightStoreThrottled`. */
export type WeightStore = (policy: PolicyId, version: WeightVersion, location: string) => Promise<void>;
