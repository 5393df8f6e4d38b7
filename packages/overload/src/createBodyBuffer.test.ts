import fc from "fast-check";
import { expect, test } from "vitest";
import { createBlockPool } from "./createBlockPool.js";
import { createBodyBuffer } from "./createBodyBuffer.js";

const blockBytes = 65_536;

test("chunks of any size are collected in their order, and what is reserved covers them", () => {
    const pool = createBlockPool(blockBytes);
    const sizes = fc.array(fc.integer({ min: 1, max: 3 * blockBytes }), { maxLength: 12 });
    fc.assert(
        fc.property(sizes, fc.constantFrom("known", "unknown"), fc.nat(), (lengths, length, seed) => {
            const total = lengths.reduce((sum, each) => sum + each, 0);
            const whole = Buffer.from(Uint8Array.from({ length: total }, (_, index) => index * 31 + seed));
            let reserved = 0;
            const buffer = createBodyBuffer(length === "known" ? total : 100 * blockBytes, {
                reserve: bytes => {
                    reserved += bytes;
                    return true;
                },
                blocks: pool,
            });
            let at = 0;
            for (const size of lengths) {
                // A copy, since the buffer frees its chunks.
                expect(buffer.append(Buffer.from(whole.subarray(at, at + size)))).toBe(true);
                at += size;
            }
            expect(reserved).toBeGreaterThanOrEqual(total);
            expect(reserved).toBeLessThanOrEqual(total + blockBytes);
            expect(buffer.take().equals(whole)).toBe(true);
            expect(buffer.bytes()).toBe(0);
        }),
        { seed: 1, numRuns: 60 },
    );
});

test("blocks of a body that was dropped are used for the next one, which does not see its bytes", () => {
    // Guards against a pool that grows with each body, and against bytes of one client in the body of another.
    const pool = createBlockPool(blockBytes);
    const taken = new Set<Buffer>();
    const blocks = {
        ...pool,
        take: () => {
            const block = pool.take();
            taken.add(block);
            return block;
        },
    };
    for (const [fill, ends] of [["a", "dropped"], ["b", "taken"], ["c", "taken"]] as const) {
        const buffer = createBodyBuffer(10 * blockBytes, { reserve: () => true, blocks });
        const chunk = Buffer.alloc(3 * blockBytes - 5, fill);
        const expected = Buffer.from(chunk);
        buffer.append(chunk);
        if (ends === "taken") {
            expect(buffer.take().equals(expected)).toBe(true);
        }
        else {
            buffer.clear();
        }
    }
    expect(taken.size).toBe(3);
});
