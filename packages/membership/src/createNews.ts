import type { EntryId } from "@auburnarch/types/EntryId";

/** Changes that are still to be told. */
interface News {
    /** Tells of an entry from now on, among `known` entries. */
    announce(entry: EntryId, known: number): void;
    /** The next ones to tell, those told least so far first. */
    draw(count: number): EntryId[];
}

/** Tellings beyond one for each doubling of the entries; few enough miss a change for the repair to reach them. */
const extraTellings = 2;

/** Makes the list of changes to tell. */
export function createNews(): News {
    const tellings = new Map<EntryId, number>();
    return {
        announce: (entry, known) => {
            tellings.set(entry, extraTellings + Math.ceil(Math.log2(known + 1)));
        },
        draw: count => {
            const next = [...tellings].sort(([, a], [, b]) => b - a).slice(0, count);
            for (const [entry, left] of next) {
                if (left > 1) {
                    tellings.set(entry, left - 1);
                }
                else {
                    tellings.delete(entry);
                }
            }
            return next.map(([entry]) => entry);
        },
    };
}
