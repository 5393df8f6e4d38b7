import type { PeerView } from "./PeerView.js";

/**
 * A peer answers twice within this time. Peers that fall silent together count as crashed one after the other, so their
 * silence is what shows the isolation from the first of them on.
 */
const maxAnswerAgeMs = 900;

/** Whether this runner reaches none of several peers; a single one may just as well have crashed. */
export const isIsolated = (peers: readonly PeerView[]): boolean =>
    peers.length > 1 && peers.every(({ isAlive, answerAgeMs }) => !isAlive || answerAgeMs > maxAnswerAgeMs);
