import { expect, test } from "vitest";
import { maxConcurrentLoads } from "./maxConcurrentLoads.js";

test("the loads at once keep within what the samplers' weight source takes, at each known size", () => {
    // Guards against: on a fleet of 33 samplers steps stood still for samplers of their version.
    expect([1, 6, 27, 33].map(maxConcurrentLoads)).toEqual([2, 2, 7, 8]);
});
