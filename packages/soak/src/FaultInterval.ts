import type { SoakFault } from "./SoakFault.js";

/** When a fault struck. */
export interface FaultInterval {
    kind: SoakFault["kind"];
    fromMs: number;
    /** Infinite while it lasts. */
    untilMs: number;
}
