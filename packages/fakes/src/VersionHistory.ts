import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";

/** State of a fake object store, without latency or faults. */
export interface VersionHistory {
    revision(): ObjectVersion;
    /** The object at a revision. Only recent versions are kept; at an older revision the object reads as absent. */
    readAt(key: string, atRevision: number): StoredObject | undefined;
    listAt(prefix: string, atRevision: number): StoredObject[];
    commitIf(key: string, json: string | undefined, expected: ObjectVersion): WriteOutcome;
    /** Changes after a revision, or all objects (`relisted`) if the history no longer reaches back to it. */
    changesSince(prefix: string, since: number): Awaited<ReturnType<ObjectStore["watch"]>>;
}
