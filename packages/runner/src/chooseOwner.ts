import type { LotId } from "@auburnarch/lots/LotId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { PeerView } from "./PeerView.js";

interface OwnerQuery {
    lot: LotId;
    policy: PolicyId | undefined;
    /** Own name. */
    self: string;
    peers: PeerView[];
    /** The store has answered this process just now. */
    isStoreHere: boolean;
}

/** A peer that cannot use the store for this long gives its jobs to others, if these can. */
const storeSilenceMs = 1_500;

const isStorelessLong = (peer: PeerView): boolean => (peer.status?.storeSilentMs ?? 0) > storeSilenceMs;

const canRun = (peer: PeerView, isStoreHere: boolean): boolean =>
    peer.isAlive && peer.status?.isLeaving !== true && !(isStoreHere && isStorelessLong(peer));

/**
 * The runner that should run a job: the one that does so already, else the first by rendezvous hash of those that can.
 * The hash is of the policy: one runner then sees all that a trainer has open, and fills the samplers of that policy
 * in one order. A wrong belief about a peer costs work done twice, never a wrong result: the store decides which
 * result of an item stands.
 */
export function chooseOwner({ lot, policy, self, peers, isStoreHere }: OwnerQuery): string {
    const able = peers.filter(peer => canRun(peer, isStoreHere));
    const current = able.find(peer => peer.status?.running.includes(lot));
    if (current !== undefined) {
        return current.name;
    }
    return rankByRendezvous(policy ?? lot, [self, ...able.map(peer => peer.name)], name => name)[0]!;
}
