import type { PeerView } from "./PeerView.js";

/**
 * Whether the store is down, and not only this runner cut off from it: each peer that answers has lost it too. Peers
 * that are silent say nothing; a runner without registered peers has only its own calls to go by.
 */
export function isStoreOutage(ownSilentMs: number, peers: PeerView[]): boolean {
    const responding = peers.filter(({ isAlive, status }) => isAlive && status !== undefined);
    const hasEvidence = responding.length > 0 || peers.length === 0;
    return ownSilentMs > 0 && hasEvidence && responding.every(({ status }) => status!.storeSilentMs > 0);
}
