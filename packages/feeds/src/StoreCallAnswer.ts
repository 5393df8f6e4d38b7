import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";

/**
 * Result of a store call. `refused`: nothing was done, `code` is the number of a result code. `unknown`: the store did
 * not answer, and a change may have taken effect or may still do so.
 */
export type StoreCallAnswer =
    | { kind: "read"; object?: StoredObject; }
    | { kind: "written"; version: ObjectVersion; }
    | { kind: "conflict"; current?: StoredObject; }
    | { kind: "refused"; code: number; }
    | { kind: "unknown"; };
