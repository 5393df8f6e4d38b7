import type { StartCount } from "./StartCount.js";

/** What one start of a process counted. */
export interface StartReport {
    /** Unique to the start of the process. */
    source: string;
    /** All that began before this moment of true time is counted. */
    countedUntilMs: number;
    counts: StartCount[];
}
