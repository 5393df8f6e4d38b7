import type { EntryId } from "@auburnarch/types/EntryId";
import type { Heartbeat } from "./Heartbeat.js";

/** Last heartbeats of entries that were removed from the registry. */
interface ForgottenEntries {
    add(beat: Heartbeat): void;
    /** Last heartbeat of a removed entry, until it is pruned. */
    lastHeartbeat(entry: EntryId): Heartbeat | undefined;
    remove(entry: EntryId): void;
    prune(): void;
}

/**
 * Creates the list of removed entries, each kept for `retentionMs`. Without it, gossip from a peer that still has a
 * crashed entry would add it again as a new one.
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
