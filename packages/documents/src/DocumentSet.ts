import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentTransfer } from "./DocumentTransfer.js";

/** Result of offering a document. */
type ApplyResult = "taken" | "notNewer" | "refused" | "baseMissing";

/** The shared documents that one process has. */
export interface DocumentSet {
    get(name: string): SharedDocument | undefined;
    digest(): DocumentDigest;
    checksum(): string;
    apply(document: SharedDocument): ApplyResult;
    applyTransfer(transfer: DocumentTransfer): ApplyResult;
    /** The document as a delta for a process that has `baseVersion`, or in full if no delta is possible. */
    transfer(name: string, baseVersion: number): DocumentTransfer | undefined;
    /** Documents whose version in `theirs` is higher and was not refused here; each with this process's version. */
    findOutdated(theirs: DocumentDigest): DocumentDigest;
}
