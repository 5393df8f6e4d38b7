import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { JobId } from "@auburnarch/types/JobId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { expect, test } from "vitest";
import { findSampleProblem } from "./findSampleProblem.js";
import type { VersionBounds } from "./VersionBounds.js";

const bounds = { minVersion: 4, publishedVersion: 5 } as VersionBounds;
const span = (version: number, tokens = 2, text = " a b"): TokenSpan =>
    ({ version, tokens, text }) as TokenSpan;

const makeSample = (spans: TokenSpan[], answer: object = {}, task: object = {}): GeneratedSample =>
    ({
        task: { sample: "j/3/1/0", step: 3, group: 1, index: 0, maxTokens: 8, ...task },
        answer: { spans, complete: true, engineMs: 10, ...answer },
    }) as unknown as GeneratedSample;

test.each([
    ["a complete sample of one version", makeSample([span(5)]), undefined],
    ["a sample with a weight swap between its spans", makeSample([span(4), span(5)]), undefined],
    ["an incomplete sample", makeSample([span(5)], { complete: false }), "incomplete"],
    [
        "a sample with another sample's identity",
        makeSample([span(5)], {}, { sample: "j/3/1/1" }),
        "wrongIdentity",
    ],
    ["a sample without spans", makeSample([]), "noSpans"],
    ["a span without a version", makeSample([span(5), span(Number.NaN)]), "noVersion"],
    ["a span with a negative version", makeSample([span(-1)]), "noVersion"],
    ["an empty span", makeSample([span(5, 0, "")]), "badTokenCount"],
    ["a span with a token count but no text", makeSample([span(5, 2, "")]), "badTokenCount"],
    ["more tokens than requested", makeSample([span(5, 5), span(5, 4)]), "tooManyTokens"],
    ["one span older than the staleness bound", makeSample([span(3), span(5)]), "staleVersion"],
    ["a version that was never published", makeSample([span(5), span(6)]), "unpublishedVersion"],
    ["an engine time that is not a number", makeSample([span(5)], { engineMs: Number.NaN }), "badEngineTime"],
])("%s", (_name, sample, problem) => {
    expect(findSampleProblem("j" as JobId, sample, bounds)).toBe(problem);
});
