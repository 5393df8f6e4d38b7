import type { FaultKind } from "./FaultKind.js";

/** Result of one randomised run. */
export interface FaultRun {
    seed: number;
    /** Number of faults of each kind that took effect. */
    strikes: Record<FaultKind, number>;
    violations: { promise: string; detail: string; atMs: number; }[];
    /** Simulated time. */
    simulatedMs: number;
    stepsDone: number;
    groupsTaken: number;
    requests: number;
    owners: number;
}
