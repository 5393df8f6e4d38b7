import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentTransfer } from "./DocumentTransfer.js";
import type { SyncMessage } from "./SyncMessage.js";

/** Versioned documents that all entries come to share. A version never goes back in a process. */
export interface DocumentSync {
    start(): void;
    stop(): void;
    /** Takes a document if it is newer and without faults, and sends it on; true if taken. */
    offer(document: SharedDocument): boolean;
    get(name: string): SharedDocument | undefined;
    /** Calls `listener` with each document taken from now on; the returned function ends that. */
    onChange(listener: (document: SharedDocument) => void): () => void;
    digest(): DocumentDigest;
    /** Documents newer here than in `theirs`, of the names in it; for the answer to a sidecar's report. */
    transfersFor(theirs: DocumentDigest): DocumentTransfer[];
    /** Names of the documents of `theirs` of which no version is held here. */
    absentFrom(theirs: DocumentDigest): string[];
    /**
     * Takes documents that a sidecar sent because they are absent here. Without it entries that start while the store
     * holds a manifest with faults have none, though each sidecar still works by the last good one, and serve nobody
     * until an operator mends it.
     */
    applyAbsent(transfers: DocumentTransfer[]): void;
    /** Answers a peer's message, unchecked as it came. Throws `badRequest` if it is malformed. */
    receive(message: unknown): SyncMessage;
    /** True once a peer or the object API has told what it holds; a process serves nothing before. */
    isCaughtUp(): boolean;
}
