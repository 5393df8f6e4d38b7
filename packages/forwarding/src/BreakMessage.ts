import type { BreakReport } from "./BreakReport.js";

/** Part of a message by which two processes compare what they know of contents and tell each other the rest. */
export interface BreakMessage {
    /** Name of the sender. */
    from: string;
    /** Digest of what the sender knows; two processes with the same digest have nothing to tell each other. */
    digest: string;
    reports: BreakReport[];
}
