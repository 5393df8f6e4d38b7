import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentTransfer } from "./DocumentTransfer.js";

/** The documents that a sidecar follows, received with the answers to its reports. */
export interface DocumentFollower {
    /** Versions to report: the version this sidecar has of each document, 0 to request it in full. */
    digest(): DocumentDigest;
    /** Validates and applies documents from an entry; older and invalid ones are dropped. */
    receive(transfers: unknown): void;
    /** The named documents that this sidecar has, in full, for an entry that has none. */
    wholeDocuments(names: string[]): DocumentTransfer[];
    get(name: string): SharedDocument | undefined;
}
