import type { FailureDomain } from "@auburnarch/types/FailureDomain";

/** A runner that may run batch jobs. */
interface OwnerCandidate {
    name: string;
    /** Undefined until it has reported it. */
    failureDomain: FailureDomain | undefined;
    holdsWeights: boolean;
}

const compareDescending = (a: string, b: string): number => a > b ? -1 : Number(a < b);

/**
 * Orders runners for the policies that are assigned to them in turn: one of each failure domain before a second of
 * any, so that the loss of a VM or a failure domain stops as few trainers as possible. The runner that orders loads
 * is last. Names are sorted in descending order, since the first by name feeds the others and the next ones replace
 * it: its crash then moves no trainer's batch jobs.
 */
export function orderOwners(candidates: OwnerCandidate[]): string[] {
    const countByDomain = new Map<FailureDomain | undefined, number>();
    return [...candidates]
        .sort((a, b) => Number(a.holdsWeights) - Number(b.holdsWeights) || compareDescending(a.name, b.name))
        .map(({ name, failureDomain, holdsWeights }) => {
            const round = countByDomain.get(failureDomain) ?? 0;
            countByDomain.set(failureDomain, round + 1);
            return { name, holdsWeights, round };
        })
        .sort((a, b) =>
            Number(a.holdsWeights) - Number(b.holdsWeights) || a.round - b.round
            || compareDescending(a.name, b.name)
        )
        .map(({ name }) => name);
}
