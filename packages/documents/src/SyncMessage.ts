import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { DocumentTransfer } from "./DocumentTransfer.js";

/**
 * One message of an exchange, in either direction. With equal checksums both hold the same versions and nothing
 * more is said, so that the steady state costs the same whatever the number of documents.
 */
export interface SyncMessage {
    /** Hash over the names and versions held. */
    checksum: string;
    /** All versions held, sent once the checksums differ. */
    digest?: DocumentDigest;
    documents: DocumentTransfer[];
    /** Documents asked for, with the version held (0 for none), from which a change may be sent. */
    wanted?: DocumentDigest;
}
