import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { JobId } from "@auburnarch/types/JobId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { expect, test } from "vitest";
import { findSampleProblem } from "./findSampleProblem.js";
import type { VersionBounds } from "./VersionBounds.js";

const bounds = { minVersion: 4, publishedVersion: 5 } as VersionBounds;
const span = (version: number, tokens = 2, text = " a b"): TokenSpan =>
    ({ version, tokens, text }) as TokenSpan;

const made = (spans: TokenSpan[], answer: object = {}, task: object = {}): GeneratedSample =>
    ({
        task: { sample: "j/3/1/0", step: 3, group: 1, index: 0, maxTokens: 8, ...task },
        answer: { spans, complete: true, engineMs: 10, ...answer },
    }) as unknown as GeneratedSample;

test.each([
    ["a whole sample of one version", made([span(5)]), undefined],
    ["a sample over a swap names both versions", made([span(4), span(5)]), undefined],
    ["a cut one", made([span(5)], { complete: false }), "incomplete"],
    ["another sample's identity", made([span(5)], {}, { sample: "j/3/1/1" }), "wrongIdentity"],
    ["nothing", made([]), "noSpans"],
    ["a span without version", made([span(5), span(Number.NaN)]), "noVersion"],
    ["a span with a negative version", made([span(-1)]), "noVersion"],
    ["an empty span", made([span(5, 0, "")]), "badTokenCount"],
    ["a span that counts tokens but has no text", made([span(5, 2, "")]), "badTokenCount"],
    ["more tokens than asked for", made([span(5, 5), span(5, 4)]), "tooManyTokens"],
    ["one span under the bound", made([span(3), span(5)]), "staleVersion"],
    ["a version that nobody published", made([span(5), span(6)]), "unpublishedVersion"],
    ["engine time that cannot be charged", made([span(5)], { engineMs: Number.NaN }), "badEngineTime"],
])("%s", (_name, sample, problem) => {
    expect(findSampleProblem("j" as JobId, sample, bounds)).toBe(problem);
});
