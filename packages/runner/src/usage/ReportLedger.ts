import type { RecordedReport } from "./RecordedReport.js";
import type { UsageReport } from "./UsageReport.js";

/** The recorded reports of the last windows. Calls reject as the store does. */
export interface ReportLedger {
    /** Those known here, in the order of their windows. Undefined until they were read. */
    reports(): readonly RecordedReport[] | undefined;
    /** Reads what stands in the store. */
    load(): Promise<void>;
    /** Adds a report; if the window stands there already, with whatever counts, nothing changes. */
    record(report: UsageReport): Promise<void>;
    /** Notes that a report was accepted or given up; it is written with the next one that is recorded. */
    markSettled(window: number): void;
}
