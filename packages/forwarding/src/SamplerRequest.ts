import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A request as it is sent to one sampler. */
export interface SamplerRequest {
    sampler: KnownSampler;
    /** The caller's id of the request, which the sampler echoes. */
    requestId: string;
    /** Whose request it is; undefined where callers need no key. */
    team: TeamId | undefined;
    method: string;
    host: string;
    /** Path and query. */
    path: string;
    /** Headers that go on unchanged. */
    headers: Record<string, string>;
    body: Uint8Array;
    /** The sampler stops work after this time. */
    budgetMs: number;
    /** Number of the last event that is already there; the sampler goes on behind it. */
    lastEventNumber?: number;
}
