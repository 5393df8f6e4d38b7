import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { expect, test } from "vitest";
import { orderOwners } from "./orderOwners.js";

const candidate = (name: string, weightsHolder?: string) => ({
    name,
    failureDomain: name.slice(0, name.indexOf("-")) as FailureDomain,
    holdsWeights: name === weightsHolder,
});

const names = ["bilbao-1", "bilbao-2", "bilbao-3", "burgos-1", "burgos-2", "lugo-1", "lugo-2"];

test("jobs of different trainers are run in different failure domains, apart from feeding and orders", () => {
    // Guards against: two VMs of one failure domain lost power, and the steps of both trainers stood still.
    const order = (holder: string) => orderOwners(names.map(name => candidate(name, holder))).join(" ");
    expect([order("lugo-1"), order("burgos-1"), order("bilbao-1")]).toEqual([
        "lugo-2 burgos-2 bilbao-3 burgos-1 bilbao-2 bilbao-1 lugo-1",
        "lugo-2 burgos-2 bilbao-3 lugo-1 bilbao-2 bilbao-1 burgos-1",
        "lugo-2 burgos-2 bilbao-3 lugo-1 burgos-1 bilbao-2 bilbao-1",
    ]);
});

test("the death of the runner that feeds moves no trainer's jobs", () => {
    // Guards against: three runners ran one job.
    const before = orderOwners(names.map(name => candidate(name)));
    const after = orderOwners(names.slice(1).map(name => candidate(name)));
    expect(after.slice(0, 3)).toEqual(before.slice(0, 3));
});

test("the order is the same whoever asks, and a runner that has not told its failure domain has a place", () => {
    const known = names.map(name => candidate(name));
    const withUnknownDomain = known.map(each =>
        each.name === "lugo-2" ? { ...each, failureDomain: undefined } : each
    );
    expect(orderOwners([...known].reverse())).toEqual(orderOwners(known));
    expect(orderOwners(withUnknownDomain).length).toBe(names.length);
});
