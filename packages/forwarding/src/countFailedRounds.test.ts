import { expect, test } from "vitest";
import { countFailedRounds } from "./countFailedRounds.js";

test("breaks count until a pause begins, and then only those after it", () => {
    expect([
        countFailedRounds([]),
        countFailedRounds([0, 10]),
        countFailedRounds([0, 10, 20]),
        countFailedRounds([0, 10, 20, 30, 40, 50]),
        countFailedRounds([0, 10, 20, 30, 1_050]),
        countFailedRounds([0, 10, 20, 1_050, 1_060, 11_050, 11_060, 111_000]),
    ]).toEqual([0, 2, 3, 3, 4, 6]);
});
