import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { expect, test } from "vitest";
import { planLoads } from "./planLoads.js";

const policies = ["plume", "ridge", "valley"] as PolicyId[];
const at = (version: number): WeightVersion => version as WeightVersion;

const sampler = (name: string, versions: number[] = [1, 1, 1]): RegisteredSampler =>
    createTestSampler(name, {
        service: "rollout" as ServiceId,
        maxBatch: 12,
        served: policies.map((policy, index) => ({ policy, version: at(versions[index]!) })),
    });

const six = ["a", "b", "c", "d", "e", "f"].map(name => sampler(name));
const needs = (target: number | undefined, isIdle: boolean, ageMs = 0) =>
    policies.map(policy => ({
        policy,
        target: target === undefined ? undefined : at(target),
        ageMs,
        isIdle,
        jobTokens: undefined,
        jobItems: undefined,
    }));
const describeLoads = (loads: ReturnType<typeof planLoads>): string[] =>
    loads.map(load => `${load.sampler.incarnation} ${load.policy} ${load.version}`).sort();

function createPlan(assigned = new Map<PolicyId, Set<IncarnationId>>()) {
    return (over: Partial<Parameters<typeof planLoads>[0]>) =>
        planLoads({
            samplers: six,
            needs: needs(2, true),
            blocked: new Map(),
            loading: 0,
            maxLoading: 100,
            assigned,
            ...over,
        });
}

test("policies that were all assigned to the first registered sampler are spread once others register", () => {
    const assigned = new Map<PolicyId, Set<IncarnationId>>();
    const plan = createPlan(assigned);
    plan({ samplers: six.slice(0, 1) });
    const loads = plan({});
    const perSampler = new Map<string, number>();
    loads.forEach(load =>
        perSampler.set(load.sampler.incarnation, (perSampler.get(load.sampler.incarnation) ?? 0) + 1)
    );
    expect([...perSampler.keys()].sort()).toEqual(["a", "b", "c", "d", "e", "f"]);
    expect(Math.max(...perSampler.values())).toBe(1);
    expect([...assigned.values()].map(own => own.size)).toEqual([3, 3, 3]);
});

test("a version that no step waits for is loaded between two batch jobs, not while one is open", () => {
    // Guards against each step starting with a second in which its samplers accept no runs.
    const plan = createPlan();
    expect(plan({ needs: needs(2, false) })).toEqual([]);
    expect(plan({ needs: needs(2, true) })).toHaveLength(6);
});

test("an open batch job delays loads for a limited time, then one sampler of each policy is loaded at a time", () => {
    const plan = createPlan();
    expect(plan({ needs: needs(2, false, 3_000) })).toHaveLength(3);
});

test("a sampler too old for the next step is loaded immediately and first", () => {
    const plan = createPlan();
    const old = six.map(each => sampler(each.incarnation, [1, 3, 3]));
    const mixed = [
        {
            policy: policies[0]!,
            target: at(4),
            ageMs: 0,
            isIdle: false,
            jobTokens: undefined,
            jobItems: undefined,
        },
        {
            policy: policies[1]!,
            target: at(4),
            ageMs: 0,
            isIdle: true,
            jobTokens: undefined,
            jobItems: undefined,
        },
        {
            policy: policies[2]!,
            target: at(4),
            ageMs: 0,
            isIdle: false,
            jobTokens: undefined,
            jobItems: undefined,
        },
    ];
    const loads = plan({ samplers: old, needs: mixed, maxLoading: 4 });
    expect(loads.map(load => load.policy)).toEqual(["plume", "plume", "plume", "ridge"]);
});

test("samplers that are loading count towards the limit, and none gets a second order", () => {
    const plan = createPlan();
    const first = plan({ maxLoading: 2 });
    const blocked = new Map(first.map(load => [load.sampler.incarnation, load.policy]));
    expect(plan({ blocked, loading: 2, maxLoading: 2 })).toEqual([]);
    const next = plan({ blocked, loading: 1, maxLoading: 2 });
    expect(next).toHaveLength(1);
    expect(describeLoads(first)).not.toContain(describeLoads(next)[0]);
});

test("among policies that are equally behind, the one with the fewest usable samplers is loaded first", () => {
    // Guards against a step waiting 4.5 s for its first sampler.
    const plan = createPlan();
    const old = six.map(each => sampler(each.incarnation, [1, 1, 3]));
    const loads = plan({ samplers: old, needs: needs(4, false), maxLoading: 4 });
    expect(loads.map(load => load.policy)).toEqual(["plume", "ridge", "plume", "ridge"]);
});

test("a sampler that can serve the next step is left alone once half of them have the newest version", () => {
    const plan = createPlan();
    const half = six.map((each, index) => sampler(each.incarnation, index < 3 ? [4, 4, 4] : [3, 3, 3]));
    const alone = half.map(each => ({ ...each, served: each.served.slice(0, 1) }));
    expect(plan({ samplers: alone, needs: needs(4, true).slice(0, 1) })).toEqual([]);
    const next = plan({ samplers: alone, needs: needs(5, false).slice(0, 1) });
    expect(next.map(load => load.sampler.incarnation as string).sort()).toEqual(["d", "e", "f"]);
});

test("a new holder of the duty continues with the samplers that serve the newest versions", () => {
    const serving = [
        sampler("a", [1, 4, 1]),
        sampler("b", [5, 1, 1]),
        sampler("c", [1, 1, 6]),
        sampler("d", [5, 1, 1]),
        sampler("e", [1, 3, 1]),
        sampler("f", [1, 1, 6]),
    ];
    const assigned = new Map<PolicyId, Set<IncarnationId>>();
    createPlan(assigned)({ samplers: serving });
    const ownOf = (index: number): string[] => [...assigned.get(policies[index]!)!];
    expect([ownOf(0), ownOf(1), ownOf(2)].map(own => own.length)).toEqual([3, 3, 3]);
    expect(ownOf(0)).toEqual(expect.arrayContaining(["b", "d"]));
    expect(ownOf(1)).toEqual(expect.arrayContaining(["a", "e"]));
    expect(ownOf(2)).toEqual(expect.arrayContaining(["c", "f"]));
});

test("the samplers of an open batch job are loaded in three rounds, so that the next step can use them", () => {
    const many = Array.from({ length: 33 }, (_, index) => sampler(`s${index}`));
    const plan = createPlan();
    const perPolicy = (over: Parameters<typeof plan>[0]): number[] => {
        const loads = plan({ samplers: many, needs: needs(2, false, 1_500), ...over });
        return policies.map(policy => loads.filter(load => load.policy === policy).length);
    };
    expect(perPolicy({})).toEqual([4, 4, 4]);
    const inProgress = new Map(many.slice(0, 3).map(each => [each.incarnation, policies[0]!]));
    expect(perPolicy({ blocked: inProgress, loading: 3 })[0]).toBe(1);
    expect(perPolicy({ maxLoading: 8 }).reduce((sum, each) => sum + each, 0)).toBe(8);
});
