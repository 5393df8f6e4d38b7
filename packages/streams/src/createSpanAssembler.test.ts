import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import fc from "fast-check";
import { expect, test } from "vitest";
import { countTokens } from "./countTokens.js";
import { createSpanAssembler } from "./createSpanAssembler.js";
import { mergeSpans } from "./mergeSpans.js";

const span = fc.record<TokenSpan>({
    version: fc.nat(3).map(version => version as WeightVersion),
    tokens: fc.integer({ min: 1, max: 9 }),
    text: fc.string({ minLength: 1, maxLength: 4 }),
});

test("adding streamed spans after resumed ones gives the same spans as merging all of them at once", () => {
    fc.assert(
        fc.property(fc.array(span), fc.array(span), (resume, streamed) => {
            const assembler = createSpanAssembler(resume);
            streamed.forEach(assembler.add);
            const assembled = assembler.spans();
            expect(assembled).toEqual(mergeSpans([...resume, ...streamed]));
            expect(countTokens(assembled)).toBe(countTokens(resume) + assembler.addedTokens());
            expect(assembler.addedSpans()).toBe(streamed.length);
            const neighbours = assembled.slice(1).map((next, at) => next.version === assembled[at]!.version);
            expect(neighbours).not.toContain(true);
        }),
        { seed: 3, numRuns: 300 },
    );
});
