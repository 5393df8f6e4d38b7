import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { BatchJobEntry } from "./BatchJobEntry.js";
import type { BatchJobId } from "./BatchJobId.js";

/** A batch job's entry with its object version, as this process last read or wrote it. */
interface CachedEntry {
    entry: BatchJobEntry;
    version: ObjectVersion;
}

interface EntryCache {
    get(batchJobId: BatchJobId): CachedEntry | undefined;
    set(batchJobId: BatchJobId, entry: BatchJobEntry, version: ObjectVersion): void;
    remove(batchJobId: BatchJobId): void;
}

/**
 * Far more than the batch jobs of two minutes, the time within which clients ask again. An entry takes a few hundred
 * bytes.
 */
const maxEntries = 1_024;

/**
 * Creates the cache of entries. An entry is created once and changed only once, when its batch job is ended. A
 * process with a cached entry therefore need not read it before ending the batch job, and needs no store call once it
 * is ended.
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
