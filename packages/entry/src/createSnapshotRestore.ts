import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Fleet } from "./Fleet.js";
import type { StartSnapshot } from "./StartSnapshot.js";

/** Documents come in bursts; the file is written once for each. */
const saveAfterMs = 1_000;
/** How long a start waits for a newer word than the snapshot's before it serves from that. */
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
    /** True where neither a peer nor the object API has answered, and the snapshot's manifest may be served from. */
    mayServeSnapshot(): boolean;
}

/**
 * Starts an entry from its last snapshot. Without it an entry that restarts while the object API is down, and all
 * other entries with it, would have no manifest and refuse every call. Documents of the snapshot are taken like
 * any others: a newer version replaces them, an older one never.
 */
export function createSnapshotRestore(deps: SnapshotRestoreDeps): SnapshotRestore {
    const { fleet, clock, logger, snapshot, save } = deps;
    const { spread, membership } = fleet;
    const startedAtMs = clock.monotonicMs();
    let cancelSave: (() => void) | undefined;

    function collect(): StartSnapshot {
        const documents = Object.keys(spread.digest()).map(name => spread.get(name)!);
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
            const accepted = snapshot?.documents.filter(document => spread.offer(document)) ?? [];
            if (snapshot !== undefined) {
                logger.info("snapshotTaken", { documents: accepted.length, peers: snapshot.peers.length });
            }
            spread.onChange(scheduleSave);
        },
        stop: () => cancelSave?.(),
        mayServeSnapshot: () =>
            snapshot !== undefined && clock.monotonicMs() - startedAtMs >= maxWaitForNewerMs,
    };
}
