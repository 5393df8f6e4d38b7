import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { PeerView } from "../peers/PeerView.js";
import { orderOwners } from "./orderOwners.js";

interface OwnerQuery {
    batchJobId: BatchJobId;
    policy: PolicyId | undefined;
    /** All policies of the configuration, in its order. */
    policies: PolicyId[];
    /** Own name. */
    self: string;
    failureDomain: FailureDomain;
    holdsWeights: boolean;
    peers: PeerView[];
    /** For how long no peer has answered; 0 if one has. */
    isolatedMs: number;
    /** The store has answered this process just now. */
    isStoreReachable: boolean;
}

/** A peer that cannot use the store for this long gives its jobs to others, if these can. */
const maxStoreSilenceMs = 1_500;

const hasLostStore = (peer: PeerView): boolean => (peer.status?.storeSilentMs ?? 0) > maxStoreSilenceMs;

const canRun = (peer: PeerView, isStoreReachable: boolean): boolean =>
    peer.isAlive && peer.status?.isLeaving !== true && !(isStoreReachable && hasLostStore(peer));

/**
 * Alone against several peers, this runner is more likely to be cut off than they are to be dead. Their jobs go on
 * where they run; if they are gone indeed, this time is lost once.
 */
const isolationGraceMs = 6_000;

const byName = (a: { name: string; }, b: { name: string; }): number => (a.name < b.name ? -1 : 1);

/**
 * The runner that should run a job: the one that does so already (of two, the first by name), else one by the job's
 * policy. All jobs of a policy go to one runner, which fills the samplers of that policy in one order; the policies go
 * round the runners. A wrong belief about a peer costs work done twice, never a wrong result: the store decides which result of an item
 * stands.
 */
export function chooseOwner(query: OwnerQuery): string {
    const { batchJobId: lot, policy, policies, self, holdsWeights, peers, isStoreReachable: isStoreHere } =
        query;
    const holder = peers.find(peer => peer.status?.running.some(each => each.lot === lot) === true);
    const isIsolated = peers.length > 1 && peers.every(peer => !peer.isAlive);
    if (isIsolated && holder !== undefined && query.isolatedMs < isolationGraceMs) {
        return holder.name;
    }
    const eligible = peers.filter(peer => canRun(peer, isStoreHere)).sort(byName);
    const current = eligible.find(peer => peer.status?.running.some(each => each.lot === lot));
    if (current !== undefined) {
        return current.name;
    }
    const policyIndex = policy === undefined ? -1 : policies.indexOf(policy);
    const candidates = [
        { name: self, failureDomain: query.failureDomain, holdsWeights },
        ...eligible.map(({ name, status }) => ({
            name,
            failureDomain: status?.failureDomain,
            holdsWeights: status?.holdsWeights === true,
        })),
    ];
    if (policyIndex < 0) {
        return rankByRendezvous(lot, candidates, runner => runner.name)[0]!.name;
    }
    return orderOwners(candidates)[policyIndex % candidates.length]!;
}
