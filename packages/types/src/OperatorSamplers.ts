import type { SamplerView } from "./SamplerView.js";

/** Answer of `GET /operator/samplers`: those that report to the answering entry. */
export interface OperatorSamplers {
    samplers: SamplerView[];
}
