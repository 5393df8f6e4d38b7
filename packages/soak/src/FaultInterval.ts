import type { SoakFault } from "./SoakFault.js";

/** Interval in which a fault was active. */
export interface FaultInterval {
    kind: SoakFault["kind"];
    fromMs: number;
    /** Infinity while the fault is active. */
    untilMs: number;
}
