import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";

/** A query to a runner for the store's objects under a prefix. */
export interface FeedQuery {
    prefix: string;
    /** Requests changes after this revision; undefined requests all objects. */
    since?: ObjectVersion;
    /** Runners that did not answer the querying process or were unsure; another one is to answer in their place. */
    avoided?: string[];
    /** Time to wait for the first change. */
    waitMs: number;
}
