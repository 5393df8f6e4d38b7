import type { LotId } from "@auburnarch/lots/LotId";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { expect, test } from "vitest";
import { createPeerView as peer } from "../testing/createPeerView.js";
import { chooseOwner } from "./chooseOwner.js";

const lot = (name: string): LotId => name as LotId;
const names = ["r1", "r2", "r3", "r4"];
const policies = ["plume", "ridge", "valley"] as PolicyId[];
const policy = policies[0]!;
const failureDomain = "lugo" as FailureDomain;
const common = { policies, failureDomain, holdsWeights: false, aloneMs: 0 };
const running = (...lots: string[]) => lots.map(name => ({ lot: lot(name), runMs: 1_000 }));

test("all runners agree on one owner, and jobs of a trainer have the same", () => {
    const owners = names.flatMap(self =>
        ["a", "b", "c"].map(name =>
            chooseOwner({
                ...common,
                lot: lot(name),
                policy,
                self,
                peers: names.filter(each => each !== self).map(each => peer(each)),
                isStoreHere: true,
            })
        )
    );
    expect(new Set(owners).size).toBe(1);
});

test("a runner that has a job keeps it when another joins", () => {
    for (const holder of names.slice(1)) {
        const peers = names.slice(1).map(each =>
            peer(each, { running: running(...each === holder ? ["a"] : []) })
        );
        expect(chooseOwner({ ...common, lot: lot("a"), policy, self: "r1", peers, isStoreHere: true })).toBe(
            holder,
        );
    }
});

test("dead and leaving runners lose their jobs", () => {
    const peers = [
        peer("r2", { running: running("a") }, false),
        peer("r3", { running: running("a"), isLeaving: true }),
    ];
    expect(chooseOwner({ ...common, lot: lot("a"), policy, self: "r1", peers, isStoreHere: true })).toBe(
        "r1",
    );
});

test("a peer without the store keeps its jobs unless the store answers here", () => {
    // Guards against: in an outage of the store one runner took all jobs over and ran them again beside the others.
    const peers = [peer("r2", { running: running("a"), storeSilentMs: 3_000 })];
    expect(chooseOwner({ ...common, lot: lot("a"), policy, self: "r1", peers, isStoreHere: false })).toBe(
        "r2",
    );
    expect(chooseOwner({ ...common, lot: lot("a"), policy, self: "r1", peers, isStoreHere: true })).toBe(
        "r1",
    );
});

test("trainers are spread over runners, and the runner that orders loads has none while others are left", () => {
    // Guards against: one VM was cut off and two of three trainers and all loads stood still.
    const owners = policies.map(each =>
        chooseOwner({
            lot: lot(`lot of ${each}`),
            policy: each,
            policies,
            failureDomain,
            self: "r1",
            holdsWeights: false,
            aloneMs: 0,
            peers: [peer("r2", { holdsWeights: true }), peer("r3"), peer("r4")],
            isStoreHere: true,
        })
    );
    expect(owners).toEqual(["r4", "r3", "r1"]);
});

test("a runner that hears none of several peers leaves them their jobs for a while", () => {
    const dead = ["r2", "r3", "r4"].map(name =>
        peer(name, { running: name === "r3" ? running("a") : [] }, false)
    );
    const owner = (aloneMs: number): string =>
        chooseOwner({
            ...common,
            lot: lot("a"),
            policy,
            self: "r1",
            peers: dead,
            aloneMs,
            isStoreHere: true,
        });
    expect([owner(1_000), owner(7_000)]).toEqual(["r3", "r1"]);
    const others = [dead[1]!, peer("r4")];
    expect(chooseOwner({ ...common, lot: lot("a"), policy, self: "r1", peers: others, isStoreHere: true }))
        .toBe("r4");
});
