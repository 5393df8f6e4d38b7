import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { DocumentTransfer } from "./DocumentTransfer.js";

/**
 * One message of an exchange, in either direction. With equal checksums both sides have the same versions and the
 * exchange ends, so that the cost of the steady state does not depend on the number of documents.
 */
export interface SyncMessage {
    /** Hash over the names and versions of the sender's documents. */
    checksum: string;
    /** All versions the sender has, sent once the checksums differ. */
    digest?: DocumentDigest;
    documents: DocumentTransfer[];
    /** Requested documents, each with the version the sender has (0 for none) as the base of a delta. */
    wanted?: DocumentDigest;
}
