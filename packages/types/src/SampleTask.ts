import type { ContentDigest } from "./ContentDigest.js";
import type { SampleId } from "./SampleId.js";
import type { StepNumber } from "./StepNumber.js";
import type { TokenSpan } from "./TokenSpan.js";
import type { WeightVersion } from "./WeightVersion.js";

/** One sample that a job wants made. */
export interface SampleTask {
    sample: SampleId;
    step: StepNumber;
    group: number;
    index: number;
    prompt: string;
    maxTokens: number;
    seed: number;
    digest: ContentDigest;
    /** Monotonic time at which the trainer needs it. */
    needAtMs: number;
    /** Spans of an earlier run to continue behind; a fresh start where left out. */
    resume?: TokenSpan[];
    /** No span may be older than this; raised by the owner as weights are published. */
    minVersion: WeightVersion;
}
