import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { LotEntry } from "./LotEntry.js";
import type { LotId } from "./LotId.js";

/** A job's entry as it stood in the store when it was last seen here. */
interface KnownEntry {
    entry: LotEntry;
    version: ObjectVersion;
}

interface KnownEntries {
    get(lot: LotId): KnownEntry | undefined;
    set(lot: LotId, entry: LotEntry, version: ObjectVersion): void;
    forget(lot: LotId): void;
}

/** Far above the jobs of the two minutes for which their clients come back; an entry has some hundred bytes. */
const maxEntries = 1_024;

/**
 * Makes the memory of entries. An entry is created once and changed once, by its end: who knows it need not read it
 * before it is ended, nor ask anything once it is.
 */
export function createKnownEntries(): KnownEntries {
    const entries = new Map<LotId, KnownEntry>();
    return {
        get: lot => entries.get(lot),
        set: (lot, entry, version) => {
            entries.delete(lot);
            entries.set(lot, { entry, version });
            if (entries.size > maxEntries) {
                entries.delete(entries.keys().next().value!);
            }
        },
        forget: lot => void entries.delete(lot),
    };
}
