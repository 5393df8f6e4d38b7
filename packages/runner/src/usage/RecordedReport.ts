import type { UsageReport } from "./UsageReport.js";

/** A report that stands in the store: whoever sends it sends these counts and no others. */
export interface RecordedReport extends UsageReport {
    /** It was accepted or given up, as far as its recorder knew when it wrote last. */
    isSettled: boolean;
}
