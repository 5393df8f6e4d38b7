import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { expect, test } from "vitest";
import { orderOwners } from "./orderOwners.js";

const candidate = (name: string, weightsHolder?: string) => ({
    name,
    failureDomain: name.slice(0, name.indexOf("-")) as FailureDomain,
    holdsWeights: name === weightsHolder,
});

const names = ["bilbao-1", "bilbao-2", "bilbao-3", "burgos-1", "burgos-2", "lugo-1", "lugo-2"];

test("batch jobs of different trainers run in different failure domains, apart from the runner that feeds or orders loads", () => {
    // Guards against two VMs of one failure domain losing power and stalling the steps of both trainers.
    const order = (holder: string) => orderOwners(names.map(name => candidate(name, holder))).join(" ");
    expect([order("lugo-1"), order("burgos-1"), order("bilbao-1")]).toEqual([
        "lugo-2 burgos-2 bilbao-3 burgos-1 bilbao-2 bilbao-1 lugo-1",
        "lugo-2 burgos-2 bilbao-3 lugo-1 bilbao-2 bilbao-1 burgos-1",
        "lugo-2 burgos-2 bilbao-3 lugo-1 burgos-1 bilbao-2 bilbao-1",
    ]);
});

test("the crash of the feeding runner moves no trainer's batch jobs", () => {
    // Guards against three runners running one batch job.
    const before = orderOwners(names.map(name => candidate(name)));
    const after = orderOwners(names.slice(1).map(name => candidate(name)));
    expect(after.slice(0, 3)).toEqual(before.slice(0, 3));
});

test("the order does not depend on the input order, and a runner whose failure domain is unknown is included", () => {
    const known = names.map(name => candidate(name));
    const withUnknownDomain = known.map(each =>
        each.name === "lugo-2" ? { ...each, failureDomain: undefined } : each
    );
    expect(orderOwners([...known].reverse())).toEqual(orderOwners(known));
    expect(orderOwners(withUnknownDomain).length).toBe(names.length);
});
