import type { SoakFault } from "./SoakFault.js";

/** Interval in which a fault was active. */
export interface FaultInterval {
    kind: SoakFault["kind"];
    /** Index of the process that the fault strikes; undefined if it strikes none in particular. */
    process?: number | undefined;
    fromMs: number;
    /** Infinity while the fault is active. */
    untilMs: number;
}
