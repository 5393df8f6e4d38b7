import type { ObjectVersion } from "./ObjectVersion.js";

/** A change seen by a watch; `value` is undefined if the object was removed. */
export interface StoredChange {
    key: string;
    version: ObjectVersion;
    value: unknown;
}
