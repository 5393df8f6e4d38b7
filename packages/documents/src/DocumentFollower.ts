import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentTransfer } from "./DocumentTransfer.js";

/** The documents that a sidecar follows, as they come with the answers to its reports. */
export interface DocumentFollower {
    /** What to ask for: the version held of each document, 0 where it is to come whole. */
    digest(): DocumentDigest;
    /** Takes what an entry sent, unchecked as it came; older and faulty ones are dropped. */
    receive(transfers: unknown): void;
    /** Those of the named documents that are held, for an entry that has none. */
    wholeDocuments(names: string[]): DocumentTransfer[];
    get(name: string): SharedDocument | undefined;
}
