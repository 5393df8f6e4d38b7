import type { TimedFault } from "./TimedFault.js";

/** Result of one soak run. */
export interface SoakReport {
    seed: number;
    /** Settings that were drawn for this run. */
    settings: Record<string, unknown>;
    faults: TimedFault[];
    breaches: { atMs: number; promise: string; detail: string; }[];
    steps: number;
    wholeSteps: number;
    plainCalls: number;
    servedPlainCalls: number;
    /** Output lines of each process, by its name. */
    logs: Map<string, string[]>;
}
