import type { FaultKind } from "./FaultKind.js";

/** What a series of randomised runs found. */
export interface FaultSummary {
    seed: number;
    runs: number;
    /** Guard that let everything through; undefined if none. */
    without: string | undefined;
    /** How often each kind of fault truly struck. */
    strikes: Record<FaultKind, number>;
    /** Breaches of promises, at most 100 of them with their details. */
    violations: { seed: number; promise: string; detail: string; atMs: number; }[];
    violationCount: number;
    simulatedMs: number;
    stepsDone: number;
    groupsTaken: number;
    requests: number;
    owners: number;
}
