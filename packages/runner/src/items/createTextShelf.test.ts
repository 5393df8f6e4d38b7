import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { expect, test } from "vitest";
import { createTextShelf } from "./createTextShelf.js";

const item = "item-1" as SampleId;
const version = (value: number): TokenSpan["version"] => value as TokenSpan["version"];
const span = (at: number, text: string): TokenSpan => ({ version: version(at), tokens: 1, text });

test("a text is found only if all of it is fresh enough for the job that asks", () => {
    const shelf = createTextShelf();
    shelf.keep(item, { spans: [span(3, "a\n"), span(4, "b\n")], isWhole: true });
    expect(shelf.find(item, version(3))?.isWhole).toBe(true);
    expect(shelf.find(item, version(4))).toBeUndefined();
    expect(shelf.find("other" as SampleId, version(0))).toBeUndefined();
});

test("the oldest texts go when there are too many", () => {
    const shelf = createTextShelf();
    const long = "x".repeat(4_000_000);
    ["a", "b", "c"].forEach(name => shelf.keep(name as SampleId, { spans: [span(1, long)], isWhole: false }));
    const found = ["a", "b", "c"].map(name => shelf.find(name as SampleId, version(1)) !== undefined);
    expect(found).toEqual([false, true, true]);
});
