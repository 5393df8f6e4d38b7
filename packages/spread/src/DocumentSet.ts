import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentTransfer } from "./DocumentTransfer.js";

/** What came of an offered document. */
type TakeResult = "taken" | "notNewer" | "refused" | "baseMissing";

/** The documents of one process. */
export interface DocumentSet {
    get(name: string): SharedDocument | undefined;
    digest(): DocumentDigest;
    checksum(): string;
    take(document: SharedDocument): TakeResult;
    takeTransfer(transfer: DocumentTransfer): TakeResult;
    /** The document in the form that is shortest for a process that holds `baseVersion` of it. */
    transfer(name: string, baseVersion: number): DocumentTransfer | undefined;
    /** Names whose version in `theirs` is higher and was not refused here, with the version held. */
    missing(theirs: DocumentDigest): DocumentDigest;
}
