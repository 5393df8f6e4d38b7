import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { rankByRendezvous } from "./rankByRendezvous.js";

interface Candidate {
    address: string;
    failureDomain: FailureDomain;
}

/**
 * Chooses `count` candidates for `key` by rendezvous hash, spread over as many failure domains as possible, so that
 * the loss of one domain leaves the others. `weights` caches the hashes of one key between calls.
 */
export function chooseOverDomains<T extends Candidate>(
    key: string,
    candidates: readonly T[],
    count: number,
    weights?: Map<string, string>,
): T[] {
    let remaining = rankByRendezvous(key, candidates, candidate => candidate.address, weights);
    const chosen: T[] = [];
    while (chosen.length < count && remaining.length > 0) {
        const usedInRound = new Set<FailureDomain>();
        const deferred: T[] = [];
        for (const candidate of remaining) {
            if (chosen.length < count && !usedInRound.has(candidate.failureDomain)) {
                usedInRound.add(candidate.failureDomain);
                chosen.push(candidate);
            }
            else {
                deferred.push(candidate);
            }
        }
        remaining = deferred;
    }
    return chosen;
}
