import type { SoakFault } from "./SoakFault.js";

/** A fault and its time, in milliseconds from the start of the traffic. */
export interface TimedFault {
    atMs: number;
    fault: SoakFault;
}
