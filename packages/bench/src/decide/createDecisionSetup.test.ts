import { expect, test } from "vitest";
import { createDecisionSetup } from "./createDecisionSetup.js";

test("the setup makes real decisions: full samplers have room for two more, the others for ten, and one is picked", () => {
    const { placement, nextWork } = createDecisionSetup(8, 16);
    const candidates = placement.listCandidates(0);
    expect(candidates.map(candidate => candidate.room)).toEqual([2, 10, 2, 10, 2, 10, 2, 10]);
    expect(placement.decide(nextWork(), candidates, 0)).toMatchInlineSnapshot(`
      {
        "candidates": 8,
        "estimatedFinishMs": 1362,
        "kind": "picked",
        "reason": "earliestFinish",
        "sampler": "sampler-1",
      }
    `);
});
