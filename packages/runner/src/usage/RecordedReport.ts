import type { UsageReport } from "./UsageReport.js";

/** A report recorded in the store: every process that sends it sends these counts and no others. */
export interface RecordedReport extends UsageReport {
    /** It was accepted or abandoned, as far as the recording process knew at its last write. */
    isSettled: boolean;
}
