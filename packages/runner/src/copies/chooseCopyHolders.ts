import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PeerView } from "../peers/PeerView.js";

interface CopyHolderQuery {
    batchJobId: BatchJobId;
    /** Failure domain of the runner that runs the batch job. */
    failureDomain: FailureDomain;
    peers: readonly PeerView[];
    /** Number of copies. */
    copies: number;
    /** Holders so far; those that are still able to hold copies remain, so that nothing is sent twice. */
    current: readonly string[];
    /** Peers that do not know the method. */
    unsupported: ReadonlySet<string>;
}

/**
 * Chooses the peers that hold copies of a batch job's texts. A peer in a failure domain without a copy comes first;
 * among equal ones the batch job's id decides, so that the batch jobs of a runner have different holders.
 */
export function chooseCopyHolders(query: CopyHolderQuery): string[] {
    const { batchJobId, failureDomain, peers, copies, current, unsupported } = query;
    const eligible = peers.filter(({ name, isAlive, status }) =>
        isAlive && status !== undefined && !status.isLeaving && !unsupported.has(name)
    );
    const domainOf = (name: string): FailureDomain | undefined =>
        eligible.find(peer => peer.name === name)?.status?.failureDomain;
    const ranked = rankByRendezvous(batchJobId, eligible.map(peer => peer.name), name => name);
    const holders = current.filter(name => ranked.includes(name)).slice(0, copies);
    while (holders.length < Math.min(copies, ranked.length)) {
        const used = [failureDomain, ...holders.map(domainOf)];
        const usesOf = (name: string): number => used.filter(domain => domain === domainOf(name)).length;
        const next = ranked.filter(name => !holders.includes(name))
            .reduce((best, name) => usesOf(name) < usesOf(best) ? name : best);
        holders.push(next);
    }
    return holders;
}
