import type { DocumentSync } from "@auburnarch/documents/DocumentSync";
import type { Membership } from "@auburnarch/membership/Membership";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { ManifestView } from "./ManifestView.js";
import type { SamplerViews } from "./SamplerViews.js";

/** What an entry knows of the others: who is there, what all share, what each sampler is doing. */
export interface Fleet {
    membership: Membership;
    spread: DocumentSync;
    manifest: ManifestView;
    views: SamplerViews;
    /** Entries believed alive and staying, this one included. */
    listLiveEntries(): EntryId[];
    start(): void;
    stop(): void;
}
