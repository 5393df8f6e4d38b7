import type { ObjectVersion } from "./ObjectVersion.js";

/** A change seen by a watch; `value` is undefined where the object was removed. */
export interface StoredChange {
    key: string;
    version: ObjectVersion;
    value: unknown;
}
