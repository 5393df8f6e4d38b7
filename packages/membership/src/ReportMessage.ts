import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** A sidecar's report to an entry. */
export interface ReportMessage {
    report: SamplerReport;
    /** Documents the sidecar follows, with the versions it holds. */
    digest: DocumentDigest;
    /** Entries it knows of; while these are few, the answer names more. */
    knownEntries: number;
    /** Documents that the entry's last answer asked for, whole. */
    documents?: DocumentTransfer[];
}
