import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { DueLoad } from "./DueLoad.js";
import { loadUrgency } from "./loadUrgency.js";
import type { PolicyNeed } from "./PolicyNeed.js";
import { versionOf } from "./versionOf.js";

/** Loads that are due for one policy. */
interface PolicyDue {
    /** Most urgent first. */
    loads: DueLoad[];
    /** Number of samplers that can serve the policy's next step, now or within a second. */
    usable: number;
    /**
     * Number of loads needed in addition to those of unusable samplers, so that half of the samplers have the newest
     * version.
     */
    missing: number;
}

/** A step may use the version before the newest named one, but no older one. */
const maxUsableLag = 1;
/**
 * A version that no step is waiting for is loaded between two batch jobs, or after this time, when most items of the
 * open one have started. A later load would leave the next step without samplers if the holder of the duty crashes in
 * between.
 */
const maxLoadDelayMs = 1_200;

/** Urgency of a load that only keeps half of the samplers at the newest version. */
function urgencyOfEarlyLoad(need: PolicyNeed): number {
    if (need.isIdle) {
        return loadUrgency.idle;
    }
    return need.ageMs > maxLoadDelayMs ? loadUrgency.overdue : loadUrgency.notNow;
}

/**
 * Lists the loads of one policy over its own samplers. A step also accepts the version before the newest named one,
 * so a sampler serves two steps with one load: the samplers made unusable by the newest version, about half, are
 * loaded at once while the other half serves. Loading all of them for each version would be more loads than can be
 * performed, and steps would start with only the few samplers that are done.
 */
export function listDueLoads(
    need: PolicyNeed,
    own: RegisteredSampler[],
    blocked: ReadonlyMap<IncarnationId, PolicyId>,
): PolicyDue {
    const { policy, target } = need;
    const loading = [...blocked.values()].filter(each => each === policy).length;
    if (target === undefined) {
        return { loads: [], usable: own.length, missing: 0 };
    }
    const free = own.filter(({ incarnation }) => !blocked.has(incarnation));
    const isUnusable = (sampler: RegisteredSampler): boolean =>
        versionOf(sampler, policy) < target - maxUsableLag;
    const isFresh = (sampler: RegisteredSampler): boolean => versionOf(sampler, policy) >= target;
    const unusable = free.filter(isUnusable);
    const missing = Math.ceil(own.length / 2) - own.filter(isFresh).length - loading - unusable.length;
    const urgency = urgencyOfEarlyLoad(need);
    const early = urgency === loadUrgency.notNow
        ? []
        : free.filter(each => !isUnusable(each) && !isFresh(each));
    const toLoad = (sampler: RegisteredSampler, at: number): DueLoad => ({
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
