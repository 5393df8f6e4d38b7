import type { AttemptId } from "@auburnarch/types/AttemptId";
import { attemptRetentionMs } from "@auburnarch/types/attemptRetentionMs";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createAttemptTable } from "./createAttemptTable.js";

test("within the memory time no attempt that ran is reported as never seen, however small the table", () => {
    // Guards against a sender that is answered "not run" for an attempt that ran, and sends it again.
    const step = fc.record({
        waitMs: fc.nat(attemptRetentionMs / 3),
        attempt: fc.nat(30),
        ask: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 80 }), fc.integer({ min: 1, max: 12 }), (steps, capacity) => {
            let nowMs = 0;
            const table = createAttemptTable({ nowMs: () => nowMs, capacity });
            const ranAtMs = new Map<number, number>();
            for (const { waitMs, attempt, ask } of steps) {
                nowMs += waitMs;
                const id = `a${attempt}` as AttemptId;
                const ranMs = ranAtMs.get(attempt);
                if (ask) {
                    const remembered = ranMs !== undefined && nowMs - ranMs < attemptRetentionMs;
                    expect(remembered && table.query(id) === "neverSeen").toBe(false);
                }
                else if (table.statusOf(id) === undefined && ranMs === undefined) {
                    table.start(id);
                    table.finish(id);
                    ranAtMs.set(attempt, nowMs);
                }
            }
            expect(table.retainedCount()).toBeLessThanOrEqual(2 * capacity + 2);
        }),
        { seed: 6, numRuns: 500 },
    );
});

test("a tombstone outlives every budget and is never evicted when the table is full", () => {
    let nowMs = 0;
    const table = createAttemptTable({ nowMs: () => nowMs, capacity: 2 });
    const ids = ["a", "b", "c"] as AttemptId[];
    expect(ids.map(id => table.query(id))).toEqual(["neverSeen", "neverSeen", "finished"]);
    nowMs += 3_599_000;
    expect(ids.map(id => table.statusOf(id))).toEqual(["tombstone", "tombstone", undefined]);
});
