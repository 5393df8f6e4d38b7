import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";

/** Asks a runner for the store's objects under a prefix. */
export interface FeedQuery {
    prefix: string;
    /** Changes after this revision; undefined asks for all objects. */
    since?: ObjectVersion;
    /** Runners that did not answer the asking process, or could not tell; another one is to answer for them. */
    avoided?: string[];
    /** How long to wait for the first change. */
    waitMs: number;
}
