import type { SharedDocument } from "@auburnarch/types/SharedDocument";

/** State that an entry with a data folder saves for its next start. */
export interface StartSnapshot {
    documents: SharedDocument[];
    /** Addresses of other entries. */
    peers: string[];
}
