import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** A sidecar's report to an entry. */
export interface ReportMessage {
    report: SamplerReport;
    /** Documents that the sidecar follows, with the versions it has. */
    digest: DocumentDigest;
    /** Number of entries that the sidecar knows; while they are few, the answer names more. */
    knownEntries: number;
    /** Full documents that the entry's last answer asked for. */
    documents?: DocumentTransfer[];
}
