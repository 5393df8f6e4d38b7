import type { ContentDigest } from "@auburnarch/types/ContentDigest";

/** Health of a plain service, derived from the outcomes of its calls. */
export interface PlainHealth {
    /** Records a connection that broke before the response. */
    recordBrokenConnection(digest: ContentDigest): void;
    /** Records a refused connection: requests whose connections broke shortly before were in flight at the crash. */
    recordRefusedConnection(): void;
    recordAnswer(digest: ContentDigest): void;
    /** True for a short time after a refused connection. */
    isDown(): boolean;
}
