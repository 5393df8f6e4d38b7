import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentTransfer } from "./DocumentTransfer.js";
import type { SyncMessage } from "./SyncMessage.js";

/** Versioned documents that all entries converge on. Versions never decrease within a process. */
export interface DocumentSync {
    start(): void;
    stop(): void;
    /** Applies a document if it is newer and valid, and pushes it to peers; true if applied. */
    offer(document: SharedDocument): boolean;
    get(name: string): SharedDocument | undefined;
    /** Calls `listener` with each document applied from now on; the returned function unsubscribes. */
    onChange(listener: (document: SharedDocument) => void): () => void;
    digest(): DocumentDigest;
    /** Documents named in `theirs` that are newer here; for the answer to a sidecar's report. */
    transfersFor(theirs: DocumentDigest): DocumentTransfer[];
    /** Names of documents in `theirs` of which this process has no version. */
    absentFrom(theirs: DocumentDigest): string[];
    /**
     * Applies documents that a sidecar sent because this process has none. Without them, an entry that starts while
     * the store contains an invalid manifest has no manifest, although every sidecar still uses the last valid one,
     * and serves no request until an operator repairs the manifest.
     */
    applyAbsent(transfers: DocumentTransfer[]): void;
    /** Validates and answers a peer's message. Throws `badRequest` if it is malformed. */
    receive(message: unknown): SyncMessage;
    /** True once a peer or the object API has sent its documents; a process serves no request before. */
    isCaughtUp(): boolean;
}
