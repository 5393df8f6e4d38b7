import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { WriteStamp } from "./WriteStamp.js";

/** A conditional write that its writer can recognise later; the stamp is stored in the field `stamp` of the value. */
export interface StampedWrite {
    key: string;
    value: Record<string, unknown>;
    expectedVersion: ObjectVersion;
    stamp: WriteStamp;
}
