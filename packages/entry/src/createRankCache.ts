import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { EntryId } from "@auburnarch/types/EntryId";

/**
 * Caches rankings as long as the set of entries is unchanged. Ranking 32 key ranges over 400 entries takes 12,800
 * hashes, too many to repeat every second; the set changes only a few times per hour.
 */
export function createRankCache(): (key: string, entries: readonly EntryId[]) => EntryId[] {
    let signature = "";
    let ranks = new Map<string, EntryId[]>();
    return (key, entries) => {
        const present = [...entries].sort().join("\n");
        if (present !== signature) {
            signature = present;
            ranks = new Map();
        }
        const known = ranks.get(key) ?? rankByRendezvous(key, entries, id => id);
        ranks.set(key, known);
        return known;
    };
}
