import { expect, test } from "vitest";
import { loadsAtOnce } from "./loadsAtOnce.js";

test("the loads at once keep within what the samplers' weight source takes, at each known size", () => {
    // Symptom: on a fleet of 33 samplers steps stood still for samplers of their version. Sequence: three policies name
    // a version every four seconds; 2 of 33 samplers load at a time. Cause: a bound of the smallest fleet for all.
    expect([1, 6, 27, 33].map(loadsAtOnce)).toEqual([2, 2, 7, 8]);
});
