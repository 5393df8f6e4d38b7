import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A non-idempotent request with its idempotency key. Equal keys of different teams are different keys. */
export interface KeyedRequest {
    team: TeamId;
    /** A UUIDv7. */
    key: string;
    digest: ContentDigest;
}
