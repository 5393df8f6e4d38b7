import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { rankByRendezvous } from "./rankByRendezvous.js";

interface Candidate {
    address: string;
    failureDomain: FailureDomain;
}

/**
 * The first `count` candidates for `key` by rendezvous hash, from as many failure domains as there are, so that
 * the loss of one domain leaves the others. `weights` keeps the hashes of one key between calls.
 */
export function chooseOverDomains<T extends Candidate>(
    key: string,
    candidates: readonly T[],
    count: number,
    weights?: Map<string, string>,
): T[] {
    let left = rankByRendezvous(key, candidates, candidate => candidate.address, weights);
    const chosen: T[] = [];
    while (chosen.length < count && left.length > 0) {
        const usedThisRound = new Set<FailureDomain>();
        const passedOver: T[] = [];
        for (const candidate of left) {
            if (chosen.length < count && !usedThisRound.has(candidate.failureDomain)) {
                usedThisRound.add(candidate.failureDomain);
                chosen.push(candidate);
            }
            else {
                passedOver.push(candidate);
            }
        }
        left = passedOver;
    }
    return chosen;
}
