import type { EntryId } from "@auburnarch/types/EntryId";
import type { Heartbeat } from "./Heartbeat.js";

/** Last heartbeats of entries that were forgotten. */
interface ForgottenEntries {
    add(beat: Heartbeat): void;
    /** Its last heartbeat, while it is remembered. */
    lastHeartbeat(entry: EntryId): Heartbeat | undefined;
    remove(entry: EntryId): void;
    prune(): void;
}

/**
 * Makes the memory of forgotten entries, kept for `keptMs`. Without it, the gossip of a peer that has not forgotten
 * yet would bring a dead entry back as a new one.
 */
export function createForgottenEntries(nowMs: () => number, retentionMs: number): ForgottenEntries {
    const forgotten = new Map<EntryId, { beat: Heartbeat; atMs: number; }>();
    return {
        add: beat => void forgotten.set(beat.entry, { beat, atMs: nowMs() }),
        lastHeartbeat: entry => forgotten.get(entry)?.beat,
        remove: entry => void forgotten.delete(entry),
        prune: () => {
            for (const [entry, { atMs }] of forgotten) {
                if (nowMs() - atMs > retentionMs) {
                    forgotten.delete(entry);
                }
            }
        },
    };
}
