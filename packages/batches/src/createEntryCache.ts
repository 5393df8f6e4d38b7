import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { BatchJobEntry } from "./BatchJobEntry.js";
import type { BatchJobId } from "./BatchJobId.js";

/** A job's entry as it stood in the store when it was last seen here. */
interface CachedEntry {
    entry: BatchJobEntry;
    version: ObjectVersion;
}

interface EntryCache {
    get(batchJobId: BatchJobId): CachedEntry | undefined;
    set(batchJobId: BatchJobId, entry: BatchJobEntry, version: ObjectVersion): void;
    remove(batchJobId: BatchJobId): void;
}

/** Far above the jobs of the two minutes for which their clients come back; an entry has some hundred bytes. */
const maxEntries = 1_024;

/**
 * Makes the memory of entries. An entry is created once and changed once, by its end: who knows it need not read it
 * before it is ended, nor ask anything once it is.
 */
export function createEntryCache(): EntryCache {
    const entries = new Map<BatchJobId, CachedEntry>();
    return {
        get: batchJobId => entries.get(batchJobId),
        set: (batchJobId, entry, version) => {
            entries.delete(batchJobId);
            entries.set(batchJobId, { entry, version });
            if (entries.size > maxEntries) {
                entries.delete(entries.keys().next().value!);
            }
        },
        remove: batchJobId => void entries.delete(batchJobId),
    };
}
