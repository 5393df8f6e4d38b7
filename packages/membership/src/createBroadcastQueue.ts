import type { EntryId } from "@auburnarch/types/EntryId";

/** Changes that still have to be gossiped. */
interface BroadcastQueue {
    /** Queues an entry's change for gossip among `known` entries. */
    enqueue(entry: EntryId, known: number): void;
    /** Takes the next entries to gossip, those with the most transmissions left first. */
    next(count: number): EntryId[];
}

/** Transmissions beyond log2 of the entry count; random repair reaches the few entries that still miss a change. */
const extraTransmissions = 2;

/** Creates the queue of changes to gossip, each sent a limited number of times. */
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
