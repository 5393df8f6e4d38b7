import type { SamplerId } from "./SamplerId.js";

/** Body of `POST /operator/drain`, answered with an `OperatorDrained`. */
export interface OperatorDrain {
    sampler: SamplerId;
}
