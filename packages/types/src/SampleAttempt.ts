import type { AttemptId } from "./AttemptId.js";
import type { ContentDigest } from "./ContentDigest.js";
import type { FencingNumber } from "./FencingNumber.js";
import type { JobId } from "./JobId.js";
import type { PolicyId } from "./PolicyId.js";
import type { SampleId } from "./SampleId.js";
import type { TeamId } from "./TeamId.js";
import type { TokenSpan } from "./TokenSpan.js";
import type { WeightVersion } from "./WeightVersion.js";

/** One attempt to make one sample, as sent to a sidecar. */
export interface SampleAttempt {
    attempt: AttemptId;
    sample: SampleId;
    job: JobId;
    team: TeamId;
    policy: PolicyId;
    /** The job lease's number; a sidecar that knows a higher one answers `notRun` with code `fenced`. */
    fencing: FencingNumber;
    /** The sidecar answers `notRun` with code `staleWeights` when it serves an older version. */
    minVersion: WeightVersion;
    prompt: string;
    maxTokens: number;
    priority: number;
    seed: number;
    digest: ContentDigest;
    /** The content is refused and allowed this one run, with nothing else at the sampler. */
    isTrial?: boolean;
    /** Milliseconds the sidecar may spend from receipt; work past it is dropped before it runs. */
    budgetMs: number;
    /** Spans of an earlier attempt to continue behind; empty for a fresh start. */
    resume: TokenSpan[];
}
