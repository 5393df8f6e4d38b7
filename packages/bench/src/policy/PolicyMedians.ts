import type { RunResult } from "./RunResult.js";

/** Medians of one policy on one scenario over all seeds. */
export type PolicyMedians =
    & {
        [Key in keyof RunResult as RunResult[Key] extends number ? Key : never]: number;
    }
    & {
        policy: string;
        runs: number;
        finishedRuns: number;
        biasedRuns: number;
    };
