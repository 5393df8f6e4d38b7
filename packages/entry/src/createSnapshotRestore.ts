import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Fleet } from "./Fleet.js";
import type { StartSnapshot } from "./StartSnapshot.js";

/** Documents arrive in bursts; this delay causes one write of the file per burst. */
const saveAfterMs = 1_000;
/** How long a starting entry waits for newer documents before it serves from the snapshot. */
const maxWaitForNewerMs = 5_000;

interface SnapshotRestoreDeps {
    fleet: Fleet;
    clock: Clock;
    logger: Logger;
    snapshot: StartSnapshot | undefined;
    save: ((snapshot: StartSnapshot) => Promise<void>) | undefined;
}

interface SnapshotRestore {
    start(): void;
    stop(): void;
    /** True if there is a snapshot and the time to wait for an answer of a peer or the object API has passed. */
    mayServeSnapshot(): boolean;
}

/**
 * Restores an entry's documents from its last snapshot. Without a snapshot, an entry that restarts while the object API
 * and all other entries are down would have no manifest and refuse every call. Documents from the snapshot are treated
 * like any others: a newer version replaces them, an older one does not.
 */
export function createSnapshotRestore(deps: SnapshotRestoreDeps): SnapshotRestore {
    const { fleet, clock, logger, snapshot, save } = deps;
    const { documentSync, membership } = fleet;
    const startedAtMs = clock.monotonicMs();
    let cancelSave: (() => void) | undefined;

    function collect(): StartSnapshot {
        const documents = Object.keys(documentSync.digest()).map(name => documentSync.get(name)!);
        return { documents, peers: membership.listPeers().map(peer => peer.address) };
    }

    function scheduleSave(): void {
        if (save === undefined || cancelSave !== undefined) {
            return;
        }
        cancelSave = clock.startTimer(saveAfterMs, () => {
            cancelSave = undefined;
            void save(collect());
        });
    }

    return {
        start: () => {
            const accepted = snapshot?.documents.filter(document => documentSync.offer(document)) ?? [];
            if (snapshot !== undefined) {
                logger.info("snapshotTaken", { documents: accepted.length, peers: snapshot.peers.length });
            }
            documentSync.onChange(scheduleSave);
        },
        stop: () => cancelSave?.(),
        mayServeSnapshot: () =>
            snapshot !== undefined && clock.monotonicMs() - startedAtMs >= maxWaitForNewerMs,
    };
}
