import type { PeerView } from "./PeerView.js";

const mayFeed = ({ isAlive, status }: PeerView): boolean =>
    isAlive && status !== undefined && !status.isLeaving && status.storeSilentMs === 0;

/**
 * The runner that follows the store for all: the first by name of those that can. Two that differ in what they know of
 * their peers may both do it, which costs calls and nothing else. Those that can't use it name it as avoided: all of
 * them then turn to the same next one. Undefined if none can.
 */
export function chooseFeeder(
    self: string,
    isSelfEligible: boolean,
    peers: PeerView[],
    avoided: readonly string[] = [],
): string | undefined {
    const eligible = peers.filter(mayFeed).map(peer => peer.name);
    return [...eligible, ...isSelfEligible ? [self] : []].filter(name => !avoided.includes(name)).sort()[0];
}
