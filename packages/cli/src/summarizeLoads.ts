import type { LoadRow } from "./LoadRow.js";
import { readLogLines } from "./readLogLines.js";

interface Tally {
    loads: number;
    failed: number;
    changed: number;
    samplers: Set<string>;
    doneMs: number[];
    totalMs: number;
}

const emptyTally = (): Tally => ({
    loads: 0,
    failed: 0,
    changed: 0,
    samplers: new Set(),
    doneMs: [],
    totalMs: 0,
});

function toRow(policy: string, { samplers, doneMs, ...counts }: Tally): LoadRow {
    const sum = doneMs.reduce((total, ms) => total + ms, 0);
    const meanMs = doneMs.length === 0 ? undefined : Math.round(sum / doneMs.length);
    return { policy, ...counts, samplers: samplers.size, meanMs };
}

/** Summarizes the cost of weight loads by policy from the logs of runners. */
export function summarizeLoads(logs: string[]): LoadRow[] {
    const tallies = new Map<string, Tally>();
    const lastPolicy = new Map<string, string>();
    for (const { event, fields } of readLogLines(logs)) {
        const isDone = event === "loadDone";
        if (!isDone && event !== "loadFailed") {
            continue;
        }
        const policy = fields.get("policy") ?? "";
        const sampler = fields.get("sampler") ?? "";
        const tookMs = Number(fields.get("tookMs") ?? 0);
        const tally = tallies.get(policy) ?? emptyTally();
        tallies.set(policy, tally);
        tally.loads++;
        tally.totalMs += tookMs;
        tally.samplers.add(sampler);
        tally.failed += isDone ? 0 : 1;
        tally.changed += (lastPolicy.get(sampler) ?? policy) === policy ? 0 : 1;
        if (isDone) {
            tally.doneMs.push(tookMs);
        }
        lastPolicy.set(sampler, policy);
    }
    return [...tallies].map(([policy, tally]) => toRow(policy, tally)).sort((a, b) =>
        a.policy < b.policy ? -1 : 1
    );
}
