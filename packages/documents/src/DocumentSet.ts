import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentTransfer } from "./DocumentTransfer.js";

/** What came of an offered document. */
type ApplyResult = "taken" | "notNewer" | "refused" | "baseMissing";

/** The documents of one process. */
export interface DocumentSet {
    get(name: string): SharedDocument | undefined;
    digest(): DocumentDigest;
    checksum(): string;
    apply(document: SharedDocument): ApplyResult;
    applyTransfer(transfer: DocumentTransfer): ApplyResult;
    /** The document in the form that is shortest for a process that holds `baseVersion` of it. */
    transfer(name: string, baseVersion: number): DocumentTransfer | undefined;
    /** Names whose version in `theirs` is higher and was not refused here, with the version held. */
    findOutdated(theirs: DocumentDigest): DocumentDigest;
}
