import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { DueLoad } from "./DueLoad.js";
import { loadUrgency } from "./loadUrgency.js";
import type { PolicyNeed } from "./PolicyNeed.js";
import { versionOf } from "./versionOf.js";

/** What is due for one policy. */
interface PolicyDue {
    /** The most urgent first. */
    loads: DueLoad[];
    /** Samplers that serve the policy's next step, or will within a second. */
    usable: number;
    /** Loads that are to be made beside those of useless samplers, so that half have the newest version. */
    missing: number;
}

/** A step may be made of the version before the newest named one, and of no older. */
const maxUsableLag = 1;
/**
 * A version that nobody waits for is loaded between two jobs, or once most items of the open one have begun. Later
 * would leave the next step without samplers whenever the holder of the duty dies in between.
 */
const maxLoadDelayMs = 1_200;

/** Of a load that only keeps half of the samplers at the newest version. */
function urgencyOfEarlyLoad(need: PolicyNeed): number {
    if (need.isQuiet) {
        return loadUrgency.quiet;
    }
    return need.namedMs > maxLoadDelayMs ? loadUrgency.overdue : loadUrgency.notNow;
}

/**
 * Lists the loads of one policy over its own samplers. A step takes the version before the newest named one too, so a
 * sampler serves two steps by one load: those that the newest naming has made useless are loaded at once, about half,
 * while the other half serves. All for each version would be more loads than can be made, and steps would begin with the
 * few samplers that are done.
 */
export function listDueLoads(
    need: PolicyNeed,
    own: KnownSampler[],
    blocked: ReadonlyMap<IncarnationId, PolicyId>,
): PolicyDue {
    const { policy, target } = need;
    const loading = [...blocked.values()].filter(each => each === policy).length;
    if (target === undefined) {
        return { loads: [], usable: own.length, missing: 0 };
    }
    const free = own.filter(({ incarnation }) => !blocked.has(incarnation));
    const isUnusable = (sampler: KnownSampler): boolean => versionOf(sampler, policy) < target - maxUsableLag;
    const isFresh = (sampler: KnownSampler): boolean => versionOf(sampler, policy) >= target;
    const unusable = free.filter(isUnusable);
    const missing = Math.ceil(own.length / 2) - own.filter(isFresh).length - loading - unusable.length;
    const urgency = urgencyOfEarlyLoad(need);
    const early = urgency === loadUrgency.notNow
        ? []
        : free.filter(each => !isUnusable(each) && !isFresh(each));
    const toLoad = (sampler: KnownSampler, at: number): DueLoad => ({
        sampler,
        policy,
        version: target,
        urgency: at,
    });
    return {
        loads: [
            ...unusable.map(sampler => toLoad(sampler, loadUrgency.unusable)),
            ...early.map(sampler => toLoad(sampler, urgency)),
        ],
        missing,
        usable: own.filter(sampler => !isUnusable(sampler)).length + loading,
    };
}
