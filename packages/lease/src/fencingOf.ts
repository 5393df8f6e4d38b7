import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import { parseLeaseValue } from "./parseLeaseValue.js";

/**
 * Returns the fencing number of a stored lease, released or not: the one in the value, or the object's version if the
 * value has none, as after the write that acquired it. 0 if there is no lease yet.
 */
export function fencingOf(object: StoredObject | undefined): FencingNumber {
    const stored = parseLeaseValue(object?.value)?.fencing;
    return (stored ?? object?.version ?? 0) as FencingNumber;
}
