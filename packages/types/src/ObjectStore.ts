import type { ObjectVersion } from "./ObjectVersion.js";
import type { StoredChange } from "./StoredChange.js";
import type { StoredObject } from "./StoredObject.js";
import type { WriteOutcome } from "./WriteOutcome.js";

/**
 * The platform's object API. Every call may reject with a `ResultError` of code `storeUnavailable` (a write may still
 * have taken effect) or `storeThrottled` (nothing was done).
 */
export interface ObjectStore {
    read(key: string): Promise<StoredObject | undefined>;
    list(prefix: string): Promise<{ objects: StoredObject[]; revision: ObjectVersion; }>;
    /** Writes if the stored version equals `expectedVersion`; 0 requires that the object does not exist. */
    write(key: string, value: unknown, expectedVersion: ObjectVersion): Promise<WriteOutcome>;
    remove(key: string, expectedVersion: ObjectVersion): Promise<WriteOutcome>;
    /**
     * Long poll: resolves with the changes under `prefix` after `revision`, or with none once `waitMs` has passed. A
     * watcher that is too far behind gets `relisted`: `changes` then contains every existing object, and an object that
     * is missing from it was removed.
     */
    watch(
        prefix: string,
        revision: ObjectVersion,
        waitMs: number,
    ): Promise<{ changes: StoredChange[]; revision: ObjectVersion; relisted?: boolean; }>;
}
