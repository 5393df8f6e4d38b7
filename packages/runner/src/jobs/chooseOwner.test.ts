import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { expect, test } from "vitest";
import { createPeerView as peer } from "../testing/createPeerView.js";
import { chooseOwner } from "./chooseOwner.js";

const toBatchJobId = (name: string): BatchJobId => name as BatchJobId;
const names = ["r1", "r2", "r3", "r4"];
const policies = ["plume", "ridge", "valley"] as PolicyId[];
const policy = policies[0]!;
const failureDomain = "lugo" as FailureDomain;
const common = { policies, failureDomain, holdsWeights: false, isolatedMs: 0 };
const running = (...ids: string[]) => ids.map(name => ({ lot: toBatchJobId(name), runMs: 1_000 }));

test("all runners agree on one owner, and jobs of a trainer have the same", () => {
    const owners = names.flatMap(self =>
        ["a", "b", "c"].map(name =>
            chooseOwner({
                ...common,
                batchJobId: toBatchJobId(name),
                policy,
                self,
                peers: names.filter(each => each !== self).map(each => peer(each)),
                isStoreReachable: true,
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
        expect(
            chooseOwner({
                ...common,
                batchJobId: toBatchJobId("a"),
                policy,
                self: "r1",
                peers,
                isStoreReachable: true,
            }),
        ).toBe(
            holder,
        );
    }
});

test("dead and leaving runners lose their jobs", () => {
    const peers = [
        peer("r2", { running: running("a") }, false),
        peer("r3", { running: running("a"), isLeaving: true }),
    ];
    expect(
        chooseOwner({
            ...common,
            batchJobId: toBatchJobId("a"),
            policy,
            self: "r1",
            peers,
            isStoreReachable: true,
        }),
    ).toBe(
        "r1",
    );
});

test("a peer without the store keeps its jobs unless the store answers here", () => {
    // Guards against: in an outage of the store one runner took all jobs over and ran them again beside the others.
    const peers = [peer("r2", { running: running("a"), storeSilentMs: 3_000 })];
    expect(
        chooseOwner({
            ...common,
            batchJobId: toBatchJobId("a"),
            policy,
            self: "r1",
            peers,
            isStoreReachable: false,
        }),
    ).toBe(
        "r2",
    );
    expect(
        chooseOwner({
            ...common,
            batchJobId: toBatchJobId("a"),
            policy,
            self: "r1",
            peers,
            isStoreReachable: true,
        }),
    ).toBe(
        "r1",
    );
});

test("trainers are spread over runners, and the runner that orders loads has none while others are left", () => {
    // Guards against: one VM was cut off and two of three trainers and all loads stood still.
    const owners = policies.map(each =>
        chooseOwner({
            batchJobId: toBatchJobId(`lot of ${each}`),
            policy: each,
            policies,
            failureDomain,
            self: "r1",
            holdsWeights: false,
            isolatedMs: 0,
            peers: [peer("r2", { holdsWeights: true }), peer("r3"), peer("r4")],
            isStoreReachable: true,
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
            batchJobId: toBatchJobId("a"),
            policy,
            self: "r1",
            peers: dead,
            isolatedMs: aloneMs,
            isStoreReachable: true,
        });
    expect([owner(1_000), owner(7_000)]).toEqual(["r3", "r1"]);
    const others = [dead[1]!, peer("r4")];
    expect(
        chooseOwner({
            ...common,
            batchJobId: toBatchJobId("a"),
            policy,
            self: "r1",
            peers: others,
            isStoreReachable: true,
        }),
    )
        .toBe("r4");
});
