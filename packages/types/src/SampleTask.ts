import type { ContentDigest } from "./ContentDigest.js";
import type { SampleId } from "./SampleId.js";
import type { StepNumber } from "./StepNumber.js";
import type { TokenSpan } from "./TokenSpan.js";
import type { WeightVersion } from "./WeightVersion.js";

/** One sample that a job needs to have generated. */
export interface SampleTask {
    sample: SampleId;
    step: StepNumber;
    group: number;
    index: number;
    prompt: string;
    maxTokens: number;
    seed: number;
    digest: ContentDigest;
    /** Monotonic time at which the trainer needs the sample. */
    needAtMs: number;
    /** Spans of an earlier attempt to continue from; a fresh start if omitted. */
    resume?: TokenSpan[];
    /** Lowest version allowed for a span; the owner raises it as weights are published. */
    minVersion: WeightVersion;
}
