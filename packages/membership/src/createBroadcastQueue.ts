import type { EntryId } from "@auburnarch/types/EntryId";

/** Changes that are still to be told. */
interface BroadcastQueue {
    /** Tells of an entry from now on, among `known` entries. */
    enqueue(entry: EntryId, known: number): void;
    /** The next ones to tell, those told least so far first. */
    next(count: number): EntryId[];
}

/** Tellings beyond one for each doubling of the entries; few enough miss a change for the repair to reach them. */
const extraTransmissions = 2;

/** Makes the list of changes to tell. */
export function createBroadcastQueue(): BroadcastQueue {
    const transmissionsLeft = new Map<EntryId, number>();
    return {
        enqueue: (entry, known) => {
            transmissionsLeft.set(entry, extraTransmissions + Math.ceil(Math.log2(known + 1)));
        },
        next: count => {
            const batch = [...transmissionsLeft].sort(([, a], [, b]) => b - a).slice(0, count);
            for (const [entry, left] of batch) {
                if (left > 1) {
                    transmissionsLeft.set(entry, left - 1);
                }
                else {
                    transmissionsLeft.delete(entry);
                }
            }
            return batch.map(([entry]) => entry);
        },
    };
}
