import type { PolicyMedians } from "./PolicyMedians.js";
import type { RunResult } from "./RunResult.js";

function median(values: number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    const lower = sorted[(sorted.length - 1) >> 1]!;
    const upper = sorted[sorted.length >> 1]!;
    return (lower + upper) / 2;
}

/**
 * Computes the medians of all numeric measures over the runs of one policy. `overBound` and `violations` are added up
 * instead, since a single case is an error.
 */
export function takeMedians(runs: RunResult[]): PolicyMedians {
    const first = runs[0]!;
    const numeric = Object.entries(first).filter(([, value]) => typeof value === "number").map(([key]) =>
        key
    );
    const valuesOf = (key: string): number[] => runs.map(run => run[key as keyof RunResult] as number);
    const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);
    const medians = Object.fromEntries(numeric.map(key => [key, median(valuesOf(key))]));
    return {
        ...medians,
        overBound: sum(valuesOf("overBound")),
        violations: sum(valuesOf("violations")),
        policy: first.policy,
        runs: runs.length,
        finishedRuns: runs.filter(run => run.isFinished).length,
        biasedRuns: runs.filter(run => run.isLengthBiased).length,
    } as PolicyMedians;
}
