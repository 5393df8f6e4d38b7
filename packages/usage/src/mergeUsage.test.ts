import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { JobId } from "@auburnarch/types/JobId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { TeamId } from "@auburnarch/types/TeamId";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createUsageCounters } from "./createUsageCounters.js";
import { mergeUsage } from "./mergeUsage.js";
import { summarizeUsage } from "./summarizeUsage.js";

const sampler = "s1" as SamplerId;
const team = "tiles" as TeamId;
const job = "job" as JobId;

const report = (incarnation: string, uses: number[]) => {
    const counters = createUsageCounters(sampler, incarnation as IncarnationId);
    return uses.map(engineMs => {
        counters.add({ team, job, engineMs, tokens: 1 });
        return counters.read();
    });
};

test("reports merge to the same sum in any order and with any repetitions", () => {
    const uses = fc.array(fc.nat(1_000), { minLength: 1, maxLength: 8 });
    fc.assert(
        fc.property(uses, uses, fc.array(fc.nat(15), { maxLength: 20 }), (first, second, picks) => {
            const reports = [...report("one", first), ...report("two", second)];
            const repeats = picks.map(pick => reports[pick % reports.length]!);
            const merged = mergeUsage(...repeats, ...reports.reverse(), ...repeats);
            const total = merged.reduce((sum, counter) => sum + counter.engineMs, 0);
            expect(total).toBe([...first, ...second].reduce((sum, use) => sum + use, 0));
        }),
        { seed: 2, numRuns: 200 },
    );
});

test("delivered, discarded and overhead time add up to the sidecars' total", () => {
    const merged = mergeUsage(...report("one", [100, 250, 50]));
    const plain = createUsageCounters(sampler, "one" as IncarnationId);
    plain.add({ team, job: undefined, engineMs: 7, tokens: 0 });
    const rows = summarizeUsage([...merged, ...plain.read()], [
        { job, team, deliveredEngineMs: 300, discardedEngineMs: 20 },
    ]);
    expect(rows).toMatchInlineSnapshot(`
      [
        {
          "deliveredEngineMs": 307,
          "discardedEngineMs": 20,
          "overheadEngineMs": 80,
          "requests": 4,
          "team": "tiles",
          "tokens": 3,
        },
      ]
    `);
});
