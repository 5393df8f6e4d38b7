import fc from "fast-check";
import { expect, test } from "vitest";
import { countGroups } from "./countGroups.js";
import { createCursorCodec } from "./createCursorCodec.js";
import type { CursorState } from "./CursorState.js";

const codec = createCursorCodec("key");
const count = fc.nat({ max: 2 ** 40 });

const states: fc.Arbitrary<CursorState> = fc.nat({ max: 300 }).chain(groups =>
    fc.record({
        job: fc.string(),
        step: count,
        fencing: count,
        groups: fc.constant(groups),
        delivered: fc.uint8Array({ minLength: Math.ceil(groups / 8), maxLength: Math.ceil(groups / 8) }),
        samples: count,
        tokens: count,
        engineMs: fc.double({ min: 0, max: 1e12, noNaN: true }),
    })
);

test("a cursor decodes to the state it was encoded from, and its length depends only on the number of groups", () => {
    fc.assert(
        fc.property(states, state => {
            const cursor = codec.encode(state);
            expect(codec.decode(cursor, state.job, state.step)).toEqual(state);
            const empty = {
                ...state,
                delivered: new Uint8Array(state.delivered.length),
                tokens: 0,
                engineMs: 0,
            };
            expect(codec.encode(empty).length).toBe(cursor.length);
            expect(countGroups(state)).toBeLessThanOrEqual(state.groups);
        }),
        { seed: 1 },
    );
});

test("any other string, job, step or key is rejected", () => {
    fc.assert(
        fc.property(states, fc.nat(), fc.integer({ min: 1, max: 255 }), (state, at, change) => {
            const cursor = codec.encode(state);
            const bytes = Buffer.from(cursor, "base64url");
            bytes[at % bytes.length]! ^= change;
            expect(codec.decode(bytes.toString("base64url"), state.job, state.step)).toBeUndefined();
            expect(codec.decode(cursor.slice(0, at % cursor.length), state.job, state.step)).toBeUndefined();
            expect(codec.decode(`${cursor}A`, state.job, state.step)).toBeUndefined();
            expect(codec.decode(cursor, `${state.job}x`, state.step)).toBeUndefined();
            expect(codec.decode(cursor, state.job, state.step + 1)).toBeUndefined();
            expect(createCursorCodec("other").decode(cursor, state.job, state.step)).toBeUndefined();
        }),
        { seed: 2 },
    );
});

test("arbitrary strings are rejected without an exception", () => {
    fc.assert(
        fc.property(fc.oneof(fc.string(), fc.base64String(), fc.string({ unit: "binary" })), text => {
            expect(codec.decode(text, "job", 0)).toBeUndefined();
        }),
        { seed: 3, numRuns: 1_000 },
    );
});
