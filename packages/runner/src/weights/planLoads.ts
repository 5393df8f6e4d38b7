import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { compareLoads } from "./compareLoads.js";
import type { DueLoad } from "./DueLoad.js";
import { listDueLoads } from "./listDueLoads.js";
import { loadUrgency } from "./loadUrgency.js";
import type { PolicyNeed } from "./PolicyNeed.js";
import { shareSamplers } from "./shareSamplers.js";
import { versionOf } from "./versionOf.js";
import { widenShares } from "./widenShares.js";

interface PlanLoadsInput {
    samplers: RegisteredSampler[];
    needs: PolicyNeed[];
    /** Samplers with an order in progress, or paused after a failure, with the policy of the order. */
    blocked: ReadonlyMap<IncarnationId, PolicyId>;
    loading: number;
    maxLoading: number;
    /** Samplers assigned to each policy so far; retained where possible, since each change costs a load. */
    assigned: Map<PolicyId, Set<IncarnationId>>;
}

/**
 * All samplers of a policy are loaded in this many rounds while its batch job is open, which completes before the
 * trainer requests its next step. Loading one sampler at a time would leave most of them too old for that step.
 */
const loadRounds = 3;

/** Every sampler starts with this version, so it does not show which samplers were assigned to a policy. */
const firstVersion = 1;

/**
 * Lists the samplers on which an earlier holder of the duty loaded the policy, newest version first. A new holder
 * that chose samplers independently would abandon those that can serve the next step and load others.
 */
function listServing(samplers: RegisteredSampler[], policy: PolicyId): IncarnationId[] {
    return samplers
        .filter(sampler => versionOf(sampler, policy) > firstVersion)
        .sort((a, b) => versionOf(b, policy) - versionOf(a, policy))
        .map(sampler => sampler.incarnation);
}

/** Number of samplers of each policy. */
function sharesOf({ samplers, needs }: PlanLoadsInput): Map<PolicyId, number> {
    const shares = widenShares(shareSamplers(samplers.length, needs.map(need => need.jobTokens)), {
        samplers: samplers.length,
        slotsPerSampler: samplers[0]?.maxBatch ?? 1,
        jobItems: needs.map(need => need.jobItems),
    });
    return new Map(needs.map(({ policy }, at) => [policy, shares[at]!]));
}

/** Assigns each policy its number of samplers, with about the same number of policies per sampler. */
function assign(input: PlanLoadsInput, shares: ReadonlyMap<PolicyId, number>): void {
    const { samplers, needs, assigned } = input;
    const totalShares = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const maxPolicies = Math.ceil(totalShares / Math.max(1, samplers.length));
    const present = new Set(samplers.map(sampler => sampler.incarnation));
    const policiesOf = new Map<IncarnationId, number>();
    const assignTo = (sampler: IncarnationId): void =>
        void policiesOf.set(sampler, (policiesOf.get(sampler) ?? 0) + 1);
    for (const { policy } of needs) {
        const retained = [...assigned.get(policy) ?? listServing(samplers, policy)]
            .filter(each => present.has(each) && (policiesOf.get(each) ?? 0) < maxPolicies)
            .slice(0, shares.get(policy));
        retained.forEach(assignTo);
        assigned.set(policy, new Set(retained));
    }
    for (const { policy } of needs) {
        const own = assigned.get(policy)!;
        const free = rankByRendezvous(policy, samplers, sampler => sampler.incarnation)
            .filter(sampler => !own.has(sampler.incarnation))
            .sort((a, b) => (policiesOf.get(a.incarnation) ?? 0) - (policiesOf.get(b.incarnation) ?? 0));
        for (const { incarnation } of free.slice(0, shares.get(policy)! - own.size)) {
            own.add(incarnation);
            assignTo(incarnation);
        }
    }
}

const assignedTo = ({ policy }: PolicyNeed, { samplers, assigned }: PlanLoadsInput): RegisteredSampler[] =>
    samplers.filter(({ incarnation }) => assigned.get(policy)!.has(incarnation));

/**
 * Chooses the loads to order now. Each policy keeps to its share of the samplers: a load discards the sampler's cache
 * and prevents it from starting runs for a second, so loading every policy on every sampler costs more than it gains.
 * Among equally urgent loads, the policy of the later trainer comes first, then the one with the fewest usable
 * samplers: otherwise one policy would get all of its samplers before another, whose step is waiting, gets its first.
 */
export function planLoads(input: PlanLoadsInput): DueLoad[] {
    const shares = sharesOf(input);
    assign(input, shares);
    const chosen: DueLoad[] = [];
    const chosenSamplers = new Set<IncarnationId>();
    const maxOverdueLoads = (policy: PolicyId): number =>
        Math.max(1, Math.floor(shares.get(policy)! / loadRounds));
    const due = input.needs.map(need => ({
        ...listDueLoads(need, assignedTo(need, input), input.blocked),
        latenessMs: need.latenessMs ?? 0,
    }));
    const inProgress = new Map(
        input.needs.map(({ policy }) => [
            policy,
            [...input.blocked.values()].filter(each => each === policy).length,
        ]),
    );

    function nextOf({ loads, missing }: ReturnType<typeof listDueLoads>): DueLoad | undefined {
        return loads.find(({ sampler, policy, urgency }) =>
            !chosenSamplers.has(sampler.incarnation)
            && (urgency === loadUrgency.unusable || missing > 0)
            && (urgency !== loadUrgency.overdue || inProgress.get(policy)! < maxOverdueLoads(policy))
        );
    }

    const toCompared = ({ load, each }: { load: DueLoad | undefined; each: typeof due[number]; }) => ({
        urgency: load!.urgency,
        usable: each.usable,
        latenessMs: each.latenessMs,
    });

    while (input.loading + chosen.length < input.maxLoading) {
        const next = due
            .map(each => ({ load: nextOf(each), each }))
            .filter(({ load }) => load !== undefined)
            .sort((a, b) => compareLoads(toCompared(a), toCompared(b)))[0];
        if (next === undefined) {
            break;
        }
        const { sampler, policy, urgency } = next.load!;
        chosenSamplers.add(sampler.incarnation);
        inProgress.set(policy, inProgress.get(policy)! + 1);
        next.each.usable++;
        next.each.missing -= urgency === loadUrgency.unusable ? 0 : 1;
        next.each.loads = next.each.loads.filter(load => load !== next.load);
        chosen.push(next.load!);
    }
    return chosen;
}
