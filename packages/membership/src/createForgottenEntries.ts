import type { EntryId } from "@auburnarch/types/EntryId";
import type { Heartbeat } from "./Heartbeat.js";

/** Last heartbeats of entries that were forgotten. */
interface ForgottenEntries {
    note(beat: Heartbeat): void;
    /** Its last heartbeat, while it is remembered. */
    lastBeat(entry: EntryId): Heartbeat | undefined;
    forget(entry: EntryId): void;
    prune(): void;
}

/**
 * Makes the memory of forgotten entries, kept for `keptMs`. Without it, the gossip of a peer that has not forgotten
 * yet would bring a dead entry back as a new one.
 */
export function createForgottenEntries(nowMs: () => number, keptMs: number): ForgottenEntries {
    const forgotten = new Map<EntryId, { beat: Heartbeat; atMs: number; }>();
    return {
        note: beat => void forgotten.set(beat.entry, { beat, atMs: nowMs() }),
        lastBeat: entry => forgotten.get(entry)?.beat,
        forget: entry => void forgotten.delete(entry),
        prune: () => {
            for (const [entry, { atMs }] of forgotten) {
                if (nowMs() - atMs > keptMs) {
                    forgotten.delete(entry);
                }
            }
        },
    };
}
