import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { isIsolated } from "../peers/isIsolated.js";
import type { PeerView } from "../peers/PeerView.js";
import { orderOwners } from "./orderOwners.js";

interface OwnerQuery {
    batchJobId: BatchJobId;
    policy: PolicyId | undefined;
    /** All policies, in the order of the configuration. */
    policies: PolicyId[];
    /** Name of the runner that asks. */
    self: string;
    failureDomain: FailureDomain;
    holdsWeights: boolean;
    peers: PeerView[];
    /** Time for which no peer has answered; 0 if one has. */
    isolatedMs: number;
    /** The store has answered this process recently. */
    isStoreReachable: boolean;
}

/** A peer that has not reached the store for this long loses its batch jobs to runners that can reach it. */
const maxStoreSilenceMs = 1_500;

const isStoreUnreachableFrom = (peer: PeerView): boolean =>
    (peer.status?.storeSilentMs ?? 0) > maxStoreSilenceMs;

const canRun = (peer: PeerView, isStoreReachable: boolean): boolean =>
    peer.isAlive && peer.status?.isLeaving !== true && !(isStoreReachable && isStoreUnreachableFrom(peer));

/**
 * A runner that reaches none of several peers is more likely to be partitioned than they are to have crashed. For this
 * time all batch jobs, also new ones, are left to them, since they run them among themselves; if they did crash, their
 * batch jobs are taken over this much later.
 */
const isolationGraceMs = 6_000;

const byName = (a: { name: string; }, b: { name: string; }): number => (a.name < b.name ? -1 : 1);

/**
 * Chooses the runner of a batch job: the one that already runs it (of two, the first by name), otherwise one
 * according to its policy. All batch jobs of a policy go to one runner, which fills the samplers of that policy in
 * one order; policies are assigned to runners in turn. A wrong view of a peer duplicates work but never yields a
 * wrong result: the store decides which result of an item is valid.
 */
export function chooseOwner(query: OwnerQuery): string {
    const { batchJobId, policy, policies, self, holdsWeights, peers, isStoreReachable } = query;
    const holder = peers.find(peer => peer.status?.running.some(each => each.lot === batchJobId) === true);
    if (isIsolated(peers) && query.isolatedMs < isolationGraceMs) {
        return (holder ?? [...peers].sort(byName)[0]!).name;
    }
    const eligible = peers.filter(peer => canRun(peer, isStoreReachable)).sort(byName);
    const current = eligible.find(peer => peer.status?.running.some(each => each.lot === batchJobId));
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
        return rankByRendezvous(batchJobId, candidates, runner => runner.name)[0]!.name;
    }
    return orderOwners(candidates)[policyIndex % candidates.length]!;
}
