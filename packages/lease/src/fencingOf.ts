import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import { parseLeaseValue } from "./parseLeaseValue.js";

/**
 * Fencing number of a lease as stored, released or not: the one in the value, or the object's version where the
 * value has none, as in the write that acquired it. 0 where there is no lease yet.
 */
export function fencingOf(object: StoredObject | undefined): FencingNumber {
    const stored = parseLeaseValue(object?.value)?.fencing;
    return (stored ?? object?.version ?? 0) as FencingNumber;
}
