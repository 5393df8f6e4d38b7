import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { PeerView } from "../peers/PeerView.js";

/**
 * Chooses the runner that reads a batch job on behalf of all when no runner has its results; undefined if that is
 * this one.
 */
export function chooseReader(batchJobId: BatchJobId, self: string, peers: PeerView[]): string | undefined {
    const eligible = peers.filter(peer => peer.isAlive && peer.status?.isLeaving === false).map(peer =>
        peer.name
    );
    const [reader] = rankByRendezvous(batchJobId, [self, ...eligible], name => name);
    return reader === self ? undefined : reader;
}
