import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { expect, test } from "vitest";
import { jobTokensOf } from "./jobTokensOf.js";
import { shareSamplers } from "./shareSamplers.js";

const plume = "plume" as PolicyId;
const entry = (submittedAtMs: number, expectedTokens: number | undefined, policy = plume): BatchJobEntry => ({
    total: 8,
    team: undefined,
    submittedAtMs,
    policy,
    expectedTokens,
    isEnded: false,
});

test("a trainer with larger steps gets more samplers, and each gets at least half an equal share and two samplers", () => {
    expect({
        alike: shareSamplers(6, [500, 500, 500]),
        threeTimes: shareSamplers(8, [2_112, 768]),
        many: shareSamplers(34, [4_400, 1_920]),
        fewest: shareSamplers(6, [480, 920, 1_104]),
        least: shareSamplers(12, [10_000, 1]),
        notAllKnown: shareSamplers(8, [2_112, undefined]),
        oneSampler: shareSamplers(1, [2_112, 768]),
        none: shareSamplers(0, [2_112, 768]),
    }).toMatchInlineSnapshot(`
      {
        "alike": [
          3,
          3,
          3,
        ],
        "fewest": [
          3,
          3,
          4,
        ],
        "least": [
          12,
          4,
        ],
        "many": [
          25,
          11,
        ],
        "none": [
          0,
          0,
        ],
        "notAllKnown": [
          5,
          5,
        ],
        "oneSampler": [
          1,
          1,
        ],
        "threeTimes": [
          7,
          3,
        ],
      }
    `);
});

test("a policy's work is the average of its latest batch jobs", () => {
    const entries = [entry(1, 9_000), entry(5, 100), entry(3, 300), entry(4, 200), entry(2, 400)];
    const others = [entry(6, 7_000, "ridge" as PolicyId), entry(7, undefined)];
    expect(jobTokensOf([...entries, ...others], plume)).toBe(250);
    expect(jobTokensOf([entry(1, undefined)], plume)).toBeUndefined();
});
