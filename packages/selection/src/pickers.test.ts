import { createRandom } from "@auburnarch/clock/createRandom";
import { expect, test } from "vitest";
import type { Candidate } from "./Candidate.js";
import { pickEarliestFinish } from "./pickEarliestFinish.js";
import { pickLeastFinish } from "./pickLeastFinish.js";
import { pickLeastReported } from "./pickLeastReported.js";
import { pickRandom } from "./pickRandom.js";
import { pickRoundRobin } from "./pickRoundRobin.js";
import { pickTwoChoices } from "./pickTwoChoices.js";
import type { SamplerPicker } from "./SamplerPicker.js";
import { createTestCandidate } from "./testing/createTestCandidate.js";
import { createTestRequest } from "./testing/createTestRequest.js";

const pickers: SamplerPicker[] = [
    pickRandom,
    pickRoundRobin,
    pickLeastReported,
    pickTwoChoices,
    pickLeastFinish,
    pickEarliestFinish,
];

const decideAll = (candidates: Candidate[], request = createTestRequest()): Record<string, unknown> =>
    Object.fromEntries(
        ["random", "roundRobin", "leastReported", "twoChoices", "leastFinish", "earliestFinish"]
            .map((name, index) => [name, pickers[index]!(candidates, request, createRandom(7))]),
    );

test("each picker chooses as documented among a busy, an idle and a fast sampler", () => {
    const candidates = [
        createTestCandidate("busy", { room: 2, outstanding: 6, lastSentOrder: 9 }, { running: 6 }),
        createTestCandidate("idle", { lastSentOrder: 8 }),
        createTestCandidate("fast", {
            room: 4,
            outstanding: 4,
            observedTokensPerSecond: 190,
            lastSentOrder: 10,
        }, {
            running: 4,
            tokensPerSecond: 200,
        }),
    ];
    expect(decideAll(candidates)).toMatchInlineSnapshot(`
      {
        "earliestFinish": {
          "candidates": 3,
          "estimatedFinishMs": 1105,
          "kind": "picked",
          "reason": "earliestFinish",
          "sampler": "fast",
        },
        "leastFinish": {
          "candidates": 3,
          "estimatedFinishMs": 1105,
          "kind": "picked",
          "reason": "leastFinish",
          "sampler": "fast",
        },
        "leastReported": {
          "candidates": 3,
          "estimatedFinishMs": undefined,
          "kind": "picked",
          "reason": "leastReported",
          "sampler": "idle",
        },
        "random": {
          "candidates": 3,
          "estimatedFinishMs": undefined,
          "kind": "picked",
          "reason": "random",
          "sampler": "busy",
        },
        "roundRobin": {
          "candidates": 3,
          "estimatedFinishMs": undefined,
          "kind": "picked",
          "reason": "roundRobin",
          "sampler": "idle",
        },
        "twoChoices": {
          "candidates": 3,
          "estimatedFinishMs": undefined,
          "kind": "picked",
          "reason": "twoChoices",
          "sampler": "busy",
        },
      }
    `);
});

test("nothing is picked if no sampler has room", () => {
    const candidates = [createTestCandidate("a", { room: 0 }), createTestCandidate("b", { room: 0 })];
    for (const picker of pickers) {
        expect(picker(candidates, createTestRequest(), createRandom(1))).toMatchObject({
            kind: "none",
            reason: "noRoom",
        });
    }
});

test("a burst after one report is spread instead of sent to the one sampler that was idle in it", () => {
    // Guards against queues that oscillate between samplers at the interval of the reports.
    const candidates = [
        createTestCandidate("a", {}, { running: 0 }),
        createTestCandidate("b", { room: 4 }, { running: 4 }),
    ];
    const sent = Array.from({ length: 12 }, () => {
        const decision = pickEarliestFinish(candidates, createTestRequest(), createRandom(1));
        const chosen = candidates.find(({ view }) => view.report.sampler === decision.sampler)!;
        chosen.sentSinceReport++;
        chosen.outstanding++;
        chosen.room--;
        return decision.sampler;
    });
    expect(sent.join("")).toMatchInlineSnapshot(`"aaaaabababab"`);
});

test("a long sample waits for the fast sampler, a short one goes to the slow one at once", () => {
    // Guards against a step delayed by one long sample on a slow sampler.
    const candidates = [
        createTestCandidate("slow", { observedTokensPerSecond: 40 }),
        createTestCandidate("fast", {
            room: 0,
            outstanding: 8,
            outstandingTokens: 8_000,
            observedTokensPerSecond: 150,
        }, {
            running: 8,
        }),
    ];
    const decide = (expectedTokens: number): unknown =>
        pickEarliestFinish(candidates, createTestRequest({ expectedTokens }), createRandom(1));
    expect(decide(1_000)).toMatchObject({ kind: "none", reason: "waitForFaster", sampler: "fast" });
    expect(decide(10)).toMatchObject({ kind: "picked", sampler: "slow" });
});

test("a sampler that is about to swap is picked only if no other has room", () => {
    const swapping = createTestCandidate("a", { aboutToSwap: true });
    const decide = (other: Candidate): unknown =>
        pickEarliestFinish([swapping, other], createTestRequest(), createRandom(1));
    expect(decide(createTestCandidate("b", { room: 1, outstanding: 7 }, { running: 7 }))).toMatchObject({
        sampler: "b",
    });
    expect(decide(createTestCandidate("b", { room: 0 }, { running: 8 }))).toMatchObject({ sampler: "a" });
});

test("a cached prompt outweighs a small load but not a long queue", () => {
    const request = createTestRequest({ promptTokens: 6_000, expectedTokens: 200 });
    const cached = (load: number): Candidate =>
        createTestCandidate(
            "cached",
            { cachedPromptTokens: 6_000, outstanding: load, outstandingTokens: load * 200 },
            {
                running: load,
            },
        );
    const decide = (load: number): unknown =>
        pickEarliestFinish([cached(load), createTestCandidate("cold")], request, createRandom(1));
    expect(decide(4)).toMatchObject({ sampler: "cached", reason: "earliestFinishCachedPrefix" });
    expect(decide(40)).toMatchObject({ sampler: "cold" });
});
