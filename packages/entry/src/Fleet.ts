import type { DocumentSync } from "@auburnarch/documents/DocumentSync";
import type { Membership } from "@auburnarch/membership/Membership";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { ManifestView } from "./ManifestView.js";
import type { SamplerViews } from "./SamplerViews.js";

/** An entry's view of the fleet: membership, shared documents, the manifest and the state of each sampler. */
export interface Fleet {
    membership: Membership;
    documentSync: DocumentSync;
    manifest: ManifestView;
    views: SamplerViews;
    /** Entries that are neither suspected nor leaving, including this one. */
    listLiveEntries(): EntryId[];
    start(): void;
    stop(): void;
}
