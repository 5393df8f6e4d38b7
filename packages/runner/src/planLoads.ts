import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

interface PlanLoadsInput {
    samplers: KnownSampler[];
    /** Newest version named, by policy. */
    targets: ReadonlyMap<PolicyId, WeightVersion>;
    /** Policies that share the samplers, whether or not a version was named yet. */
    policies: PolicyId[];
    /** Samplers with an order under way or in a pause after a failure. */
    blocked: ReadonlySet<IncarnationId>;
    loading: number;
    maxLoading: number;
    /** Samplers that were given to each policy before; kept where possible, since each change costs a load. */
    assigned: Map<PolicyId, Set<IncarnationId>>;
}

interface Load {
    sampler: KnownSampler;
    policy: PolicyId;
    version: WeightVersion;
}

/** Which sampler shares which policies; each policy gets the same number, rounded up. */
function assign(input: PlanLoadsInput): void {
    const { samplers, policies, assigned } = input;
    if (policies.length === 0) {
        return;
    }
    const share = Math.ceil(samplers.length / policies.length);
    const present = new Set(samplers.map(sampler => sampler.incarnation));
    const load = new Map<IncarnationId, number>();
    for (const policy of policies) {
        const kept = new Set([...assigned.get(policy) ?? []].filter(each => present.has(each)));
        assigned.set(policy, kept);
        kept.forEach(each => load.set(each, (load.get(each) ?? 0) + 1));
    }
    for (const policy of policies) {
        const own = assigned.get(policy)!;
        const ranked = rankByRendezvous(policy, samplers, sampler => sampler.incarnation);
        const free = ranked
            .filter(sampler => !own.has(sampler.incarnation))
            .sort((a, b) => (load.get(a.incarnation) ?? 0) - (load.get(b.incarnation) ?? 0));
        for (const sampler of free.slice(0, Math.max(0, share - own.size))) {
            own.add(sampler.incarnation);
            load.set(sampler.incarnation, (load.get(sampler.incarnation) ?? 0) + 1);
        }
    }
}

const versionOf = (sampler: KnownSampler, policy: PolicyId): WeightVersion | undefined =>
    sampler.served.find(served => served.policy === policy)?.version;

/**
 * Loads to order now. Each policy keeps to its share of the samplers: a load throws the sampler's cache away and
 * takes it out for a second, so loading every policy everywhere costs more than it serves. Those furthest behind go
 * first, as what runs there is of no use to the next step.
 */
export function planLoads(input: PlanLoadsInput): Load[] {
    assign(input);
    const due: Load[] = [];
    for (const [policy, version] of input.targets) {
        for (const sampler of input.samplers) {
            const isOwn = input.assigned.get(policy)?.has(sampler.incarnation) === true;
            const served = versionOf(sampler, policy);
            if (isOwn && (served ?? -1) < version && !input.blocked.has(sampler.incarnation)) {
                due.push({ sampler, policy, version });
            }
        }
    }
    const behind = ({ sampler, policy, version }: Load): number => version - (versionOf(sampler, policy) ?? -1);
    due.sort((a, b) => behind(b) - behind(a));
    const chosen: Load[] = [];
    const taken = new Set<IncarnationId>();
    for (const load of due) {
        const isRoom = input.loading + chosen.length < input.maxLoading;
        if (isRoom && !taken.has(load.sampler.incarnation)) {
            taken.add(load.sampler.incarnation);
            chosen.push(load);
        }
    }
    return chosen;
}
