import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { WriteStamp } from "./WriteStamp.js";

/** A conditional write that can be recognised afterwards; the stamp is stored as the value's field `stamp`. */
export interface StampedWrite {
    key: string;
    value: Record<string, unknown>;
    expectedVersion: ObjectVersion;
    stamp: WriteStamp;
}
