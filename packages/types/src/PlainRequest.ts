import type { AttemptId } from "./AttemptId.js";
import type { ContentDigest } from "./ContentDigest.js";
import type { ServiceId } from "./ServiceId.js";
import type { TeamId } from "./TeamId.js";

/** An interactive or plain HTTP request as sent to a sampler. */
export interface PlainRequest {
    attempt: AttemptId;
    service: ServiceId;
    team: TeamId;
    method: string;
    /** Path and query relative to the service. */
    path: string;
    headers: Record<string, string>;
    body: Uint8Array;
    idempotent: boolean;
    digest: ContentDigest;
    /** True for a trial: the content is quarantined but may run this once, with nothing else on the sampler. */
    isTrial?: boolean;
    /** Milliseconds left until the caller's deadline when the request is sent. */
    budgetMs: number;
}
