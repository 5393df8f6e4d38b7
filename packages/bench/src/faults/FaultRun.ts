import type { FaultKind } from "./FaultKind.js";

/** What one randomised run found. */
export interface FaultRun {
    seed: number;
    /** How often each kind of fault truly struck. */
    strikes: Record<FaultKind, number>;
    violations: { promise: string; detail: string; atMs: number; }[];
    /** Simulated time. */
    simulatedMs: number;
    stepsDone: number;
    groupsTaken: number;
    requests: number;
    owners: number;
}
