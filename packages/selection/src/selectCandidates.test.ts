import fc from "fast-check";
import { expect, test } from "vitest";
import { selectCandidates } from "./selectCandidates.js";
import { createTestCandidate } from "./testing/createTestCandidate.js";
import { createTestRequest } from "./testing/createTestRequest.js";

const namesOf = (candidates: ReturnType<typeof selectCandidates>): string[] =>
    candidates.map(({ view }) => view.report.sampler);

test("only ready samplers that serve the policy at the minimum version or above are selected", () => {
    const candidates = [
        createTestCandidate("good"),
        createTestCandidate("newer", {}, { served: [{ policy: "plume", version: 4 }] }),
        createTestCandidate("older", {}, { served: [{ policy: "plume", version: 2 }] }),
        createTestCandidate("other", {}, { served: [{ policy: "ridge", version: 9 }] }),
        createTestCandidate("leaving", {}, { state: "leaving" }),
        createTestCandidate("swapping", {}, { state: "swapping" }),
        createTestCandidate("unknown", {}, { state: "unknownVersion" }),
    ];
    expect(namesOf(selectCandidates(candidates, createTestRequest()))).toEqual(["good", "newer"]);
});

test("suspicion, avoidance and suspects narrow the selection and never empty it", () => {
    const sampler = fc.record({
        suspected: fc.boolean(),
        avoided: fc.boolean(),
        isAble: fc.boolean(),
        holds: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(sampler, { maxLength: 12 }), fc.boolean(), (drawn, suspect) => {
        const candidates = drawn.map(({ suspected, isAble, holds }, index) => {
            const candidate = createTestCandidate(`s${index}`, {}, {
                state: isAble ? "ready" : "engineDown",
                suspects: holds ? [{ digest: "other", deaths: [] }] : [],
            });
            return { ...candidate, view: { ...candidate.view, suspected } };
        });
        const avoid = new Set(drawn.flatMap(({ avoided }, index) => avoided ? [`s${index}`] : []));
        const chosen = selectCandidates(candidates, createTestRequest({ avoid, suspect }));
        const able = candidates.filter(candidate => candidate.view.report.state === "ready");
        expect(chosen.length > 0).toBe(able.length > 0);
        expect(chosen.every(candidate => able.includes(candidate))).toBe(true);
        const trusted = able.filter(candidate => !candidate.view.suspected);
        expect(trusted.length > 0 && chosen.some(candidate => candidate.view.suspected)).toBe(false);
    }));
});

test("a suspect of an engine crash is not sent to a sampler that runs another suspect", () => {
    // Guards against refusing a harmless prompt everywhere after it ran beside a crash-inducing one twice.
    const candidates = [
        createTestCandidate("holds", {}, { suspects: [{ digest: "other", deaths: [] }] }),
        createTestCandidate("clean"),
    ];
    expect(namesOf(selectCandidates(candidates, createTestRequest({ suspect: true })))).toEqual(["clean"]);
    expect(namesOf(selectCandidates(candidates, createTestRequest()))).toEqual(["holds", "clean"]);
});
