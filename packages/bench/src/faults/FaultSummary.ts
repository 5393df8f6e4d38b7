import type { FaultKind } from "./FaultKind.js";

/** Result of a series of randomised runs. */
export interface FaultSummary {
    seed: number;
    runs: number;
    /** Guards that were disabled; undefined if none. */
    without: string | undefined;
    /** Number of faults of each kind that took effect. */
    strikes: Record<FaultKind, number>;
    /** Invariant violations; details are given for the first 100 only. */
    violations: { seed: number; promise: string; detail: string; atMs: number; }[];
    violationCount: number;
    simulatedMs: number;
    stepsDone: number;
    groupsTaken: number;
    requests: number;
    owners: number;
}
