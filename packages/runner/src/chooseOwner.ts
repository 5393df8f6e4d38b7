import type { LotId } from "@auburnarch/lots/LotId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { PeerView } from "./PeerView.js";

/** A peer that cannot use the store for this long gives its jobs to others, if these can. */
const storeSilenceMs = 1_500;

const canRun = (peer: PeerView, isStoreHere: boolean): boolean =>
    peer.isAlive
    && peer.status?.isLeaving !== true
    && !(isStoreHere && (peer.status?.storeSilentMs ?? 0) > storeSilenceMs);

/**
 * The runner that should run a job: the one that does so already, else the first by rendezvous hash of those that
 * can. A wrong belief about a peer costs work done twice, never a wrong result: the store decides which result of an
 * item stands.
 */
export function chooseOwner(lot: LotId, self: string, peers: PeerView[], isStoreHere: boolean): string {
    const able = peers.filter(peer => canRun(peer, isStoreHere));
    const current = able.find(peer => peer.status?.running.includes(lot));
    if (current !== undefined) {
        return current.name;
    }
    return rankByRendezvous(lot, [self, ...able.map(peer => peer.name)], name => name)[0]!;
}
