import type { SampleId } from "./SampleId.js";
import type { SamplerId } from "./SamplerId.js";
import type { TokenSpan } from "./TokenSpan.js";

/** A verified sample as delivered to a trainer. */
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
