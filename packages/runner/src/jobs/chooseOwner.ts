import type { LotId } from "@auburnarch/lots/LotId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { PeerView } from "../peers/PeerView.js";
import { orderOwners } from "./orderOwners.js";

interface OwnerQuery {
    lot: LotId;
    policy: PolicyId | undefined;
    /** All policies of the configuration, in its order. */
    policies: PolicyId[];
    /** Own name. */
    self: string;
    failureDomain: FailureDomain;
    holdsWeights: boolean;
    peers: PeerView[];
    /** For how long no peer has answered; 0 if one has. */
    aloneMs: number;
    /** The store has answered this process just now. */
    isStoreHere: boolean;
}

/** A peer that cannot use the store for this long gives its jobs to others, if these can. */
const storeSilenceMs = 1_500;

const isStorelessLong = (peer: PeerView): boolean => (peer.status?.storeSilentMs ?? 0) > storeSilenceMs;

const canRun = (peer: PeerView, isStoreHere: boolean): boolean =>
    peer.isAlive && peer.status?.isLeaving !== true && !(isStoreHere && isStorelessLong(peer));

/**
 * Alone against several peers, this runner is more likely to be cut off than they are to be dead. Their jobs go on
 * where they run; if they are gone indeed, this time is lost once.
 */
const aloneGraceMs = 6_000;

const byName = (a: { name: string; }, b: { name: string; }): number => (a.name < b.name ? -1 : 1);

/**
 * The runner that should run a job: the one that does so already (of two, the first by name), else one by the job's
 * policy. All jobs of a policy go to one runner, which fills the samplers of that policy in one order; the policies go
 * round the runners. A wrong belief about a peer costs work done twice, never a wrong result: the store decides which result of an item
 * stands.
 */
export function chooseOwner(query: OwnerQuery): string {
    const { lot, policy, policies, self, holdsWeights, peers, isStoreHere } = query;
    const holder = peers.find(peer => peer.status?.running.some(each => each.lot === lot) === true);
    const isAlone = peers.length > 1 && peers.every(peer => !peer.isAlive);
    if (isAlone && holder !== undefined && query.aloneMs < aloneGraceMs) {
        return holder.name;
    }
    const able = peers.filter(peer => canRun(peer, isStoreHere)).sort(byName);
    const current = able.find(peer => peer.status?.running.some(each => each.lot === lot));
    if (current !== undefined) {
        return current.name;
    }
    const place = policy === undefined ? -1 : policies.indexOf(policy);
    const all = [
        { name: self, failureDomain: query.failureDomain, holdsWeights },
        ...able.map(({ name, status }) => ({
            name,
            failureDomain: status?.failureDomain,
            holdsWeights: status?.holdsWeights === true,
        })),
    ];
    if (place < 0) {
        return rankByRendezvous(lot, all, runner => runner.name)[0]!.name;
    }
    return orderOwners(all)[place % all.length]!;
}
