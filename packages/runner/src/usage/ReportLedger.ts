import type { RecordedReport } from "./RecordedReport.js";
import type { UsageReport } from "./UsageReport.js";

/** The recorded reports of the most recent windows. Calls reject with the errors of the store. */
export interface ReportLedger {
    /** The reports known to this process, in the order of their windows. Undefined until they were read. */
    reports(): readonly RecordedReport[] | undefined;
    /** Reads the ledger from the store. */
    load(): Promise<void>;
    /** Adds a report; changes nothing if the window is already recorded, with whatever counts. */
    record(report: UsageReport): Promise<void>;
    /** Marks a report as accepted or abandoned; written with the next report that is recorded. */
    markSettled(window: number): void;
}
