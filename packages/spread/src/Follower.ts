import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";

/** The documents that a sidecar follows, as they come with the answers to its reports. */
export interface Follower {
    /** What to ask for: the version held of each document, 0 where it is to come whole. */
    digest(): DocumentDigest;
    /** Takes what an entry sent, unchecked as it came; older and faulty ones are dropped. */
    receive(transfers: unknown): void;
    get(name: string): SharedDocument | undefined;
}
