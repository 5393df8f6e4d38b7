import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";

/**
 * Outcome of a write. `mayHaveTakenEffect` is true if a response was lost and the object now contains another write:
 * this one may have been in effect before it.
 */
export type KnownOutcome =
    | { kind: "written"; version: ObjectVersion; }
    | { kind: "conflict"; current: StoredObject | undefined; mayHaveTakenEffect: boolean; };
