import type { ObjectVersion } from "./ObjectVersion.js";

/** An object of the object API: a JSON value of at most one megabyte under a key. */
export interface StoredObject {
    key: string;
    version: ObjectVersion;
    value: unknown;
}
