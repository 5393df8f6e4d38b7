import type { FailureDomain } from "@auburnarch/types/FailureDomain";

/** A runner that may run jobs. */
interface OwnerCandidate {
    name: string;
    /** Undefined until it has told. */
    failureDomain: FailureDomain | undefined;
    holdsWeights: boolean;
}

/** Other work of a runner, the least first: it delays the items of a job, and its death would stop both. */
const noDuty = 0;
const feedsOthers = 1;
const ordersLoads = 2;

const compare = (a: string, b: string): number => a < b ? -1 : Number(a > b);

/**
 * Orders runners for the policies that are placed on them, one after the other: first those without other work, and
 * among these one of each failure domain before a second of any. So the loss of a VM or of a failure domain stops as
 * few trainers as can be.
 */
export function orderOwners(candidates: OwnerCandidate[]): string[] {
    const byName = [...candidates].sort((a, b) => compare(a.name, b.name));
    const seen = new Map<FailureDomain | undefined, number>();
    const ranked = byName.map(({ name, failureDomain, holdsWeights }, at) => {
        // The first by name feeds the others.
        const duty = holdsWeights ? ordersLoads : at === 0 ? feedsOthers : noDuty;
        const round = duty === noDuty ? seen.get(failureDomain) ?? 0 : 0;
        if (duty === noDuty) {
            seen.set(failureDomain, round + 1);
        }
        return { name, duty, round };
    });
    return ranked
        .sort((a, b) => a.duty - b.duty || a.round - b.round || compare(a.name, b.name))
        .map(({ name }) => name);
}
