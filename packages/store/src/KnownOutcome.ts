import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";

/**
 * How a write ended. `mayHaveStood` is true where an answer was lost and another write stands there now: ours may
 * have been in effect before it.
 */
export type KnownOutcome =
    | { kind: "written"; version: ObjectVersion; }
    | { kind: "conflict"; current: StoredObject | undefined; mayHaveTakenEffect: boolean; };
