import type { SharedDocument } from "@auburnarch/types/SharedDocument";

/** What an entry with a data folder keeps for its next start. */
export interface StartSnapshot {
    documents: SharedDocument[];
    /** Addresses of other entries. */
    peers: string[];
}
