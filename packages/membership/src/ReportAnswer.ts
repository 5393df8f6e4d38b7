import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import type { EntryTarget } from "./EntryTarget.js";

/** An entry's answer to a report. */
export interface ReportAnswer {
    /** Documents newer than the sidecar's. */
    documents: DocumentTransfer[];
    /** Documents that the entry has no version of; the next report is to bring them. */
    wanted?: string[];
    /** When this entry wants the next report. */
    nextReportMs: number;
    /** Other entries, while the sidecar knows few. */
    entries: EntryTarget[];
    /** True if the VM list says that the sidecar's VM is leaving. */
    leaving: boolean;
}
