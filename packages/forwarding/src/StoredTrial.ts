import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";

/** A trial of this process in the store. */
export interface StoredTrial {
    id: string;
    /** Version of its record. */
    version: ObjectVersion;
    /** Monotonic time until which it may be used again if it was not run. */
    keptUntilMs: number;
}
