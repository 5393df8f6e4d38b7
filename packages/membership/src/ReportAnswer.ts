import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import type { EntryTarget } from "./EntryTarget.js";

/** An entry's answer to a report. */
export interface ReportAnswer {
    /** Documents that are newer than the sidecar's. */
    documents: DocumentTransfer[];
    /** Documents that the entry does not have; the sidecar sends them with its next report. */
    wanted?: string[];
    /** Time until this entry expects the next report. */
    nextReportMs: number;
    /** Other entries, sent while the sidecar knows few. */
    entries: EntryTarget[];
    /** True if the VM list marks the sidecar's VM as leaving. */
    leaving: boolean;
}
