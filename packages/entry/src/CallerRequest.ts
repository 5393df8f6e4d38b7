import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A caller's request to a service, authenticated and with its complete body. */
export interface CallerRequest {
    team: TeamId;
    service: ServiceId;
    method: string;
    /** Path and query, relative to the service. */
    path: string;
    /** End-to-end headers: hop-by-hop headers and the token are removed. */
    headers: Record<string, string>;
    body: Uint8Array;
    /** Milliseconds until the caller's deadline; if undefined, the manifest's default applies. */
    budgetMs: number | undefined;
    idempotencyKey: string | undefined;
    /** Set by the caller; if undefined, the service's `repeatable` list decides. */
    idempotent: boolean | undefined;
    /** True if another entry forwarded the request; it is not forwarded a second time. */
    forwarded: boolean;
}
