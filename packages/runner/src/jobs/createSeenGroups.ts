import type { Lot } from "@auburnarch/lots/Lot";
import type { LotId } from "@auburnarch/lots/LotId";

/** Which job each group of prompts came with first. */
interface SeenGroups {
    note(lot: Lot): void;
    /** Whether the group came with an earlier job than this. */
    comesAgain(lot: LotId, group: string): boolean;
}

/** Far above the groups of the jobs of a minute; groups come again with one of the next jobs or never. */
const maxGroups = 8_192;

/** Makes the record of one process. A runner that has just taken a trainer over takes all its groups for new. */
export function createSeenGroups(): SeenGroups {
    const firstLots = new Map<string, LotId>();
    return {
        note: lot => {
            for (const { group } of lot.items) {
                if (group !== undefined && !firstLots.has(group)) {
                    firstLots.set(group, lot.lot);
                }
            }
            while (firstLots.size > maxGroups) {
                firstLots.delete(firstLots.keys().next().value!);
            }
        },
        comesAgain: (lot, group) => (firstLots.get(group) ?? lot) !== lot,
    };
}
