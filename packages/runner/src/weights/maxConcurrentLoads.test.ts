import { expect, test } from "vitest";
import { maxConcurrentLoads } from "./maxConcurrentLoads.js";

test("concurrent loads stay within the capacity of the weight source at each known fleet size", () => {
    // Guards against steps waiting for samplers with their version, as on a fleet of 33 samplers.
    expect([1, 6, 27, 33].map(maxConcurrentLoads)).toEqual([2, 2, 7, 8]);
});
