import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { expect, test } from "vitest";
import { createTextCache } from "./createTextCache.js";

const item = "item-1" as SampleId;
const version = (value: number): TokenSpan["version"] => value as TokenSpan["version"];
const span = (at: number, text: string): TokenSpan => ({ version: version(at), tokens: 1, text });

test("a text is found only if all of it is fresh enough for the batch job that requests it", () => {
    const textCache = createTextCache();
    textCache.put(item, { spans: [span(3, "a\n"), span(4, "b\n")], isComplete: true });
    expect(textCache.find(item, version(3))?.isComplete).toBe(true);
    expect(textCache.find(item, version(4))).toBeUndefined();
    expect(textCache.find("other" as SampleId, version(0))).toBeUndefined();
});

test("the oldest texts are evicted when the cache is full", () => {
    const textCache = createTextCache();
    const long = "x".repeat(4_000_000);
    ["a", "b", "c"].forEach(name =>
        textCache.put(name as SampleId, { spans: [span(1, long)], isComplete: false })
    );
    const found = ["a", "b", "c"].map(name => textCache.find(name as SampleId, version(1)) !== undefined);
    expect(found).toEqual([false, true, true]);
});
