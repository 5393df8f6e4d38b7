import type { SamplerView } from "./SamplerView.js";

/** Answer of `GET /operator/samplers`: the samplers that report to the answering entry. */
export interface OperatorSamplers {
    samplers: SamplerView[];
}
