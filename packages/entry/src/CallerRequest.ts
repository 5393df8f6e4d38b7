import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A caller's request to a service, authenticated and read whole. */
export interface CallerRequest {
    team: TeamId;
    service: ServiceId;
    method: string;
    /** Path and query below the service. */
    path: string;
    /** End-to-end headers, without those of a single connection and without the token. */
    headers: Record<string, string>;
    body: Uint8Array;
    /** Milliseconds until the caller's deadline; undefined takes the manifest's default. */
    budgetMs: number | undefined;
    idempotencyKey: string | undefined;
    /** The caller's own word; undefined leaves it to the service's `repeatable` list. */
    idempotent: boolean | undefined;
    /** True where another entry passed it on, so that it is not passed on again. */
    forwarded: boolean;
}
