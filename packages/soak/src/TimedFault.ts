import type { SoakFault } from "./SoakFault.js";

/** A fault and when it strikes, in milliseconds from the start of traffic. */
export interface TimedFault {
    atMs: number;
    fault: SoakFault;
}
