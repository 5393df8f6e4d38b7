import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";

/** The state behind a fake object store, without latency or faults. */
export interface VersionHistory {
    revision(): ObjectVersion;
    /** The object as it was at a revision; versions long past are forgotten and read as absent. */
    readAt(key: string, atRevision: number): StoredObject | undefined;
    listAt(prefix: string, atRevision: number): StoredObject[];
    commitIf(key: string, json: string | undefined, expected: ObjectVersion): WriteOutcome;
    /** Changes after a revision, or all objects (`relisted`) where the history no longer reaches back. */
    changesSince(prefix: string, since: number): Awaited<ReturnType<ObjectStore["watch"]>>;
}
