import { directSilentMs } from "./directSilentMs.js";
import type { PeerView } from "./PeerView.js";

const mayFeed = ({ isAlive, status }: PeerView): boolean =>
    isAlive && status !== undefined && !status.isLeaving && directSilentMs(status) === 0;

/**
 * Chooses the runner that reads changes from the store on behalf of all: the first by name of the eligible ones. Two
 * runners with different views of their peers may both do so, which only costs store calls. Processes that cannot use
 * the chosen runner pass it in `avoided`, so that all of them use the same next one. Undefined if no runner is
 * eligible.
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
