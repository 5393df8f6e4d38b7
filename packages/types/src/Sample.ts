import type { SampleId } from "./SampleId.js";
import type { SamplerId } from "./SamplerId.js";
import type { TokenSpan } from "./TokenSpan.js";

/** A verified sample as a trainer receives it. */
export interface Sample {
    sample: SampleId;
    group: number;
    index: number;
    spans: TokenSpan[];
    tokens: number;
    score: number;
    sampler: SamplerId;
    engineMs: number;
}
