import type { ObjectVersion } from "./ObjectVersion.js";
import type { StoredObject } from "./StoredObject.js";

/** Answer to a conditional write; on a conflict `current` is the object stored now. */
export type WriteOutcome =
    | { kind: "written"; version: ObjectVersion; }
    | { kind: "conflict"; current: StoredObject | undefined; };
