import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** What is known of a policy when loads are planned. */
interface PolicyNeed {
    policy: PolicyId;
    /** Newest version named; undefined before the first one. */
    target: WeightVersion | undefined;
    /** Time since that version was named. */
    namedMs: number;
    /** No job of the policy is open. */
    isQuiet: boolean;
}

interface PlanLoadsInput {
    samplers: KnownSampler[];
    needs: PolicyNeed[];
    /** Samplers with an order under way, by policy, or in a pause after a failure. */
    blocked: ReadonlyMap<IncarnationId, PolicyId>;
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

interface DueLoad extends Load {
    urgency: number;
}

interface PolicyDue {
    /** The most urgent first. */
    loads: DueLoad[];
    /** Samplers that serve the policy's next step, or will within a second. */
    usable: number;
    /** Loads that are to be made beside those of useless samplers, so that half have the newest version. */
    missing: number;
}

/**
 * Samplers of a policy beyond an equal share. Runs of several policies share a sampler's places, and a step's items
 * start at once more often; each further sampler costs a load for each version.
 */
const sharedSamplers = 1;
/** Urgency of a load that is made while a job is open. */
const overdue = 1;
/** Urgency where the sampler is of no use to the policy until it is loaded. */
const ofNoUse = 3;
/** A step may be made of the version before the newest named one, and of no older. */
const usableLag = 1;
/**
 * A version that nobody waits for is loaded between two jobs, or once most items of the open one have begun. Later
 * would leave the next step without samplers whenever the holder of the duty dies in between.
 */
const latestAfterNamedMs = 1_200;

/**
 * All samplers of a policy are loaded in this many rounds while its job is open: a round takes about 0.9 s, and 2.8 s
 * are left between the naming with its delay and the next step. One sampler at a time left 9 of 12 too old for the next
 * step, whose first results then came after 1.7 to 2.2 s instead of 0.7 s.
 */
const loadRounds = 3;

/** Every sampler starts with it, so it says nothing about who serves the policy. */
const firstVersion = 1;

const versionOf = (sampler: KnownSampler, policy: PolicyId): number =>
    sampler.served.find(served => served.policy === policy)?.version ?? -1;

/**
 * Where an earlier holder of the duty had loaded the policy, newest version first. A new holder that chose anew would
 * leave the samplers that serve the next step and load others.
 */
function listServing(samplers: KnownSampler[], policy: PolicyId): IncarnationId[] {
    return samplers
        .filter(sampler => versionOf(sampler, policy) > firstVersion)
        .sort((a, b) => versionOf(b, policy) - versionOf(a, policy))
        .map(sampler => sampler.incarnation);
}

/** Samplers of each policy. */
function shareOf({ samplers, needs }: PlanLoadsInput): number {
    const equalShare = Math.ceil(samplers.length / Math.max(1, needs.length));
    return Math.min(samplers.length, equalShare + sharedSamplers);
}

/** Gives each policy the same number of samplers, and each sampler about as many policies as any other. */
function assign(input: PlanLoadsInput): void {
    const { samplers, needs, assigned } = input;
    const share = shareOf(input);
    const most = Math.ceil(needs.length * share / Math.max(1, samplers.length));
    const present = new Set(samplers.map(sampler => sampler.incarnation));
    const load = new Map<IncarnationId, number>();
    const take = (sampler: IncarnationId): void => void load.set(sampler, (load.get(sampler) ?? 0) + 1);
    for (const { policy } of needs) {
        const kept = [...assigned.get(policy) ?? listServing(samplers, policy)]
            .filter(each => present.has(each) && (load.get(each) ?? 0) < most)
            .slice(0, share);
        kept.forEach(take);
        assigned.set(policy, new Set(kept));
    }
    for (const { policy } of needs) {
        const own = assigned.get(policy)!;
        const free = rankByRendezvous(policy, samplers, sampler => sampler.incarnation)
            .filter(sampler => !own.has(sampler.incarnation))
            .sort((a, b) => (load.get(a.incarnation) ?? 0) - (load.get(b.incarnation) ?? 0));
        for (const { incarnation } of free.slice(0, share - own.size)) {
            own.add(incarnation);
            take(incarnation);
        }
    }
}

/** Samplers of a policy that should serve the newest version named, so that the next one leaves half of them usable. */
const freshOf = (share: number): number => Math.ceil(share / 2);

/** 2: nobody is held up by it; 1: overdue, a third of the samplers at a time; 0: not now. */
function urgencyOfFresh(need: PolicyNeed): number {
    if (need.isQuiet) {
        return 2;
    }
    return need.namedMs > latestAfterNamedMs ? overdue : 0;
}

/**
 * What is due for one policy. A step takes the version before the newest named one too, so a sampler serves two steps by
 * one load: those that the newest naming has made useless are loaded at once, about half, while the other half serves.
 * Loading all for each version took 2.5 loads a second where 2 can be made: steps began with one or two samplers of
 * five, and half of the results of such a step were there after 4.1 s instead of 1.2 s.
 */
function listDueOf(need: PolicyNeed, input: PlanLoadsInput): PolicyDue {
    const { policy, target } = need;
    const own = input.samplers.filter(({ incarnation }) => input.assigned.get(policy)!.has(incarnation));
    const loading = [...input.blocked.values()].filter(each => each === policy).length;
    if (target === undefined) {
        return { loads: [], usable: own.length, missing: 0 };
    }
    const free = own.filter(({ incarnation }) => !input.blocked.has(incarnation));
    const isUseless = (sampler: KnownSampler): boolean => versionOf(sampler, policy) < target - usableLag;
    const isFresh = (sampler: KnownSampler): boolean => versionOf(sampler, policy) >= target;
    const useless = free.filter(isUseless);
    const missing = freshOf(shareOf(input)) - own.filter(isFresh).length - loading - useless.length;
    const urgency = urgencyOfFresh(need);
    const early = urgency === 0 ? [] : free.filter(each => !isUseless(each) && !isFresh(each));
    const toLoad = (sampler: KnownSampler, at: number): DueLoad => ({
        sampler,
        policy,
        version: target,
        urgency: at,
    });
    return {
        loads: [
            ...useless.map(sampler => toLoad(sampler, ofNoUse)),
            ...early.map(sampler => toLoad(sampler, urgency)),
        ],
        missing,
        usable: own.filter(sampler => !isUseless(sampler)).length + loading,
    };
}

/**
 * Loads to order now. Each policy keeps to its share of the samplers: a load throws the sampler's cache away and keeps
 * it from starting runs for a second, so loading every policy everywhere costs more than it serves. Of loads that are
 * equally urgent the policy with the fewest usable samplers comes first: after the holder of the duty was cut off, one
 * policy got all of its samplers before the other, whose step waited 4.5 s for its first.
 */
export function planLoads(input: PlanLoadsInput): Load[] {
    assign(input);
    const chosen: Load[] = [];
    const taken = new Set<IncarnationId>();
    const overdueAtOnce = Math.max(1, Math.floor(shareOf(input) / loadRounds));
    const due = input.needs.map(need => listDueOf(need, input));
    const underWay = new Map(
        input.needs.map(({ policy }) => [
            policy,
            [...input.blocked.values()].filter(each => each === policy).length,
        ]),
    );

    function nextOf({ loads, missing }: PolicyDue): DueLoad | undefined {
        return loads.find(({ sampler, policy, urgency }) =>
            !taken.has(sampler.incarnation)
            && (urgency === ofNoUse || missing > 0)
            && (urgency !== overdue || underWay.get(policy)! < overdueAtOnce)
        );
    }

    while (input.loading + chosen.length < input.maxLoading) {
        const next = due
            .map(each => ({ load: nextOf(each), each }))
            .filter(({ load }) => load !== undefined)
            .sort((a, b) => b.load!.urgency - a.load!.urgency || a.each.usable - b.each.usable)[0];
        if (next === undefined) {
            break;
        }
        const { sampler, policy, version, urgency } = next.load!;
        taken.add(sampler.incarnation);
        underWay.set(policy, underWay.get(policy)! + 1);
        next.each.usable++;
        next.each.missing -= urgency === ofNoUse ? 0 : 1;
        next.each.loads = next.each.loads.filter(load => load !== next.load);
        chosen.push({ sampler, policy, version });
    }
    return chosen;
}
