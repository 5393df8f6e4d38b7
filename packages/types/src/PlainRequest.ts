import type { AttemptId } from "./AttemptId.js";
import type { ContentDigest } from "./ContentDigest.js";
import type { ServiceId } from "./ServiceId.js";
import type { TeamId } from "./TeamId.js";

/** An interactive or plain HTTP request on its way to a sampler. */
export interface PlainRequest {
    attempt: AttemptId;
    service: ServiceId;
    team: TeamId;
    method: string;
    /** Path and query below the service. */
    path: string;
    headers: Record<string, string>;
    body: Uint8Array;
    idempotent: boolean;
    digest: ContentDigest;
    /** The content is refused and allowed this one run, with nothing else at the sampler. */
    isTrial?: boolean;
    /** Milliseconds left until the caller's deadline at the moment of sending. */
    budgetMs: number;
}
