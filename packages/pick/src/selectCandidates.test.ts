import fc from "fast-check";
import { expect, test } from "vitest";
import { selectCandidates } from "./selectCandidates.js";
import { toCandidate } from "./testing/toCandidate.js";
import { toRequest } from "./testing/toRequest.js";

const namesOf = (candidates: ReturnType<typeof selectCandidates>): string[] =>
    candidates.map(({ view }) => view.report.sampler);

test("only ready samplers that serve the policy at the least version or above", () => {
    const candidates = [
        toCandidate("good"),
        toCandidate("newer", {}, { served: [{ policy: "plume", version: 4 }] }),
        toCandidate("older", {}, { served: [{ policy: "plume", version: 2 }] }),
        toCandidate("other", {}, { served: [{ policy: "ridge", version: 9 }] }),
        toCandidate("leaving", {}, { state: "leaving" }),
        toCandidate("swapping", {}, { state: "swapping" }),
        toCandidate("unknown", {}, { state: "unknownVersion" }),
    ];
    expect(namesOf(selectCandidates(candidates, toRequest()))).toEqual(["good", "newer"]);
});

test("suspicion, avoidance and suspects narrow the choice and never empty it", () => {
    const sampler = fc.record({
        suspected: fc.boolean(),
        avoided: fc.boolean(),
        isAble: fc.boolean(),
        holds: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(sampler, { maxLength: 12 }), fc.boolean(), (drawn, suspect) => {
        const candidates = drawn.map(({ suspected, isAble, holds }, index) => {
            const candidate = toCandidate(`s${index}`, {}, {
                state: isAble ? "ready" : "engineDown",
                suspects: holds ? [{ digest: "other", deaths: [] }] : [],
            });
            return { ...candidate, view: { ...candidate.view, suspected } };
        });
        const avoid = new Set(drawn.flatMap(({ avoided }, index) => avoided ? [`s${index}`] : []));
        const chosen = selectCandidates(candidates, toRequest({ avoid, suspect }));
        const able = candidates.filter(candidate => candidate.view.report.state === "ready");
        expect(chosen.length > 0).toBe(able.length > 0);
        expect(chosen.every(candidate => able.includes(candidate))).toBe(true);
        const trusted = able.filter(candidate => !candidate.view.suspected);
        expect(trusted.length > 0 && chosen.some(candidate => candidate.view.suspected)).toBe(false);
    }));
});

test("two suspects of one death do not meet on a sampler again", () => {
    // Guards against: a harmless prompt is refused everywhere.
    const candidates = [
        toCandidate("holds", {}, { suspects: [{ digest: "other", deaths: [] }] }),
        toCandidate("clean"),
    ];
    expect(namesOf(selectCandidates(candidates, toRequest({ suspect: true })))).toEqual(["clean"]);
    expect(namesOf(selectCandidates(candidates, toRequest()))).toEqual(["holds", "clean"]);
});
