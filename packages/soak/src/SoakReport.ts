import type { TimedFault } from "./TimedFault.js";

/** What one run of the soak found. */
export interface SoakReport {
    seed: number;
    faults: TimedFault[];
    breaches: { atMs: number; promise: string; detail: string; }[];
    steps: number;
    wholeSteps: number;
    plainCalls: number;
    servedPlainCalls: number;
    /** Output of each process, by name. */
    logs: Map<string, string[]>;
}
