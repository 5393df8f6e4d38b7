import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { StoredObject } from "@auburnarch/types/StoredObject";

interface WordOfStore {
    /**
     * Milliseconds since the store was last away for the runners; absent if it has been there for one of them all the
     * while.
     */
    storeAwayMs?: number;
}

/**
 * What a runner says of the store's objects under a prefix: all of them, what changed, that another runner is to be
 * asked, or that its own view of the store may be out of date.
 */
export type FeedAnswer =
    | { kind: "listed"; objects: StoredObject[]; revision: ObjectVersion; } & WordOfStore
    | { kind: "changed"; changes: StoredChange[]; revision: ObjectVersion; } & WordOfStore
    | { kind: "elsewhere"; runner: string; }
    | { kind: "unsure"; } & WordOfStore;
