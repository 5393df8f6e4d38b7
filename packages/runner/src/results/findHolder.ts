import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { PeerView } from "../peers/PeerView.js";

/** Returns the live peer that runs a batch job, or that ran it recently and has its results. */
export function findHolder(batchJobId: BatchJobId, peers: PeerView[]): string | undefined {
    const alive = peers.filter(peer => peer.isAlive);
    const runner = alive.find(peer => peer.status?.running.some(each => each.lot === batchJobId) === true);
    const formerRunner = alive.find(peer => peer.status?.keptLots.includes(batchJobId) === true);
    return (runner ?? formerRunner)?.name;
}
