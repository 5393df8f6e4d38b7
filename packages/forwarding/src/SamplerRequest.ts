import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A request sent to one sampler. */
export interface SamplerRequest {
    sampler: RegisteredSampler;
    /** The caller's request id, which the sampler echoes. */
    requestId: string;
    /** The team that sent the request; undefined on routes without authentication. */
    team: TeamId | undefined;
    method: string;
    host: string;
    /** Path and query. */
    path: string;
    /** Headers that are forwarded unchanged. */
    headers: Record<string, string>;
    body: Uint8Array;
    /** Time after which the sampler stops processing. */
    budgetMs: number;
    /** Number of the last event already received; the sampler resumes after it. */
    lastEventNumber?: number;
}
