import { directSilentMs } from "./directSilentMs.js";
import type { PeerView } from "./PeerView.js";

/**
 * Whether the store is down, rather than unreachable from this runner only: each peer that answers cannot reach it
 * either. Peers that do not answer are no evidence; a runner without registered peers only has its own calls to judge
 * by. Calls through a peer don't count: they show that the store is up, and so do the own calls of that peer.
 */
export function isStoreOutage(ownSilentMs: number, peers: PeerView[]): boolean {
    const responding = peers.filter(({ isAlive, status }) => isAlive && status !== undefined);
    const hasEvidence = responding.length > 0 || peers.length === 0;
    return ownSilentMs > 0 && hasEvidence && responding.every(({ status }) => directSilentMs(status!) > 0);
}
