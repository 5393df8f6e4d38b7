import type { SamplerId } from "./SamplerId.js";

/** Answer of `POST /operator/drain`: the sidecar refuses new work from now on; `running` attempts continue. */
export interface OperatorDrained {
    sampler: SamplerId;
    running: number;
}
