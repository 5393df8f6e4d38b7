import type { StartCount } from "./StartCount.js";

/** Request counts of one run of a process. */
export interface StartReport {
    /** Unique to the run of the process. */
    source: string;
    /** All requests that began before this moment of true time are counted. */
    countedUntilMs: number;
    counts: StartCount[];
}
