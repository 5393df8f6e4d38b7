import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";

/** Asks a runner for the store's objects under a prefix. */
export interface FeedQuery {
    prefix: string;
    /** Changes after this revision; undefined asks for all objects. */
    since?: ObjectVersion;
    /** How long to wait for the first change. */
    waitMs: number;
}
