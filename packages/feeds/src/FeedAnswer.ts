import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { StoredObject } from "@auburnarch/types/StoredObject";

interface OutageReport {
    /** Milliseconds since the latest outage of the store, 0 during an outage; absent if the runner knows of none. */
    sinceOutageMs?: number;
}

/**
 * A runner's answer on the store's objects under a prefix: all of them, their changes, a redirect to another runner,
 * or that its own view of the store may be out of date.
 */
export type FeedAnswer =
    | { kind: "listed"; objects: StoredObject[]; revision: ObjectVersion; } & OutageReport
    | { kind: "changed"; changes: StoredChange[]; revision: ObjectVersion; } & OutageReport
    | { kind: "elsewhere"; runner: string; }
    | { kind: "unsure"; } & OutageReport;
