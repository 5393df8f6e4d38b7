import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";

/** A call to the store that a peer can make for a process. Changes are always conditional on a version. */
export type StoreCall =
    | { call: "read"; key: string; }
    | { call: "write"; key: string; value: unknown; expectedVersion: ObjectVersion; }
    | { call: "remove"; key: string; expectedVersion: ObjectVersion; };
