import type { AttemptId } from "./AttemptId.js";
import type { ContentDigest } from "./ContentDigest.js";
import type { FencingNumber } from "./FencingNumber.js";
import type { JobId } from "./JobId.js";
import type { PolicyId } from "./PolicyId.js";
import type { SampleId } from "./SampleId.js";
import type { TeamId } from "./TeamId.js";
import type { TokenSpan } from "./TokenSpan.js";
import type { WeightVersion } from "./WeightVersion.js";

/** One attempt to generate one sample, as sent to a sidecar. */
export interface SampleAttempt {
    attempt: AttemptId;
    sample: SampleId;
    job: JobId;
    team: TeamId;
    policy: PolicyId;
    /** Fencing number of the job's lease; a sidecar that knows a higher one answers `notRun` with code `fenced`. */
    fencing: FencingNumber;
    /** A sidecar that serves an older version answers `notRun` with code `staleWeights`. */
    minVersion: WeightVersion;
    prompt: string;
    maxTokens: number;
    priority: number;
    seed: number;
    digest: ContentDigest;
    /** True for a trial: the content is quarantined but may run this once, with nothing else on the sampler. */
    isTrial?: boolean;
    /** Time limit of the sidecar, counted from receipt; work that is past it is dropped before it runs. */
    budgetMs: number;
    /** Spans of an earlier attempt to continue from; empty for a fresh start. */
    resume: TokenSpan[];
}
