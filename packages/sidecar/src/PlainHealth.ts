import type { ContentDigest } from "@auburnarch/types/ContentDigest";

/** Health of a plain service, seen from what its calls come to. */
export interface PlainHealth {
    /** A connection broke before the answer. */
    recordBrokenConnection(digest: ContentDigest): void;
    /** It takes no connections: what broke shortly before was in flight at its death. */
    recordRefusedConnection(): void;
    recordAnswer(digest: ContentDigest): void;
    /** True for a short time after it took no connection. */
    isDown(): boolean;
}
