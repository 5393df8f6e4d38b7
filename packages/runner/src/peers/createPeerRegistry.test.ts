import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test } from "vitest";
import { createPeerRegistry } from "./createPeerRegistry.js";
import type { RunnerStatus } from "./RunnerStatus.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const statusOf = (over: Partial<RunnerStatus> = {}): RunnerStatus => ({
    incarnation: "i",
    failureDomain: "lugo" as FailureDomain,
    running: [],
    sent: {},
    keptLots: [],
    holdsWeights: false,
    isLeaving: false,
    storeSilentMs: 0,
    ...over,
});

function createFixture(names: string[], unreachable: string[] = []) {
    const clock = createFakeClock();
    const objects = new Map<string, RunnerAddress>(
        names.map((name, index) => [name, { host: name, port: index }]),
    );
    const answers = new Map<string, RunnerStatus | undefined>(
        names.map(name => [name, unreachable.includes(name) ? undefined : statusOf()]),
    );
    let listener = (): void => {};
    let changes = 0;
    const registered: WatchedKind<RunnerAddress> = {
        objects: () => objects,
        ageMs: () => 0,
        onChange: each => {
            listener = each;
            return () => {};
        },
        stop: () => {},
    };
    const registry = createPeerRegistry({
        self: "r1",
        registered,
        probe: async ({ host }) => {
            const answer = answers.get(host);
            if (answer === undefined) {
                await clock.sleep(350);
                throw new Error("no answer");
            }
            return answer;
        },
        onChange: () => changes++,
        clock,
        logger: silent,
    });
    const alive = (): string =>
        registry.peers().filter(peer => peer.isAlive).map(peer => peer.name).join(" ");
    return {
        clock,
        objects,
        answers,
        registry,
        alive,
        changed: () => listener(),
        changes: () => changes,
    };
}

test("a peer counts as crashed after three unanswered probes and as alive again after the next answer", async () => {
    const { clock, answers, alive } = createFixture(["r1", "r2", "r3"]);
    await clock.advance(1_000);
    const seen = [alive()];
    answers.set("r2", undefined);
    await clock.advance(1_000);
    seen.push(alive());
    await clock.advance(1_500);
    seen.push(alive());
    answers.set("r2", statusOf());
    await clock.advance(800);
    seen.push(alive());
    expect(seen).toEqual(["r2 r3", "r2 r3", "r3", "r2 r3"]);
});

test("a registered VM that no longer exists delays others by no more than two probes", async () => {
    // Guards against batch jobs that stall for 1.3 s after a power loss of all VMs.
    const { clock, registry } = createFixture(["r1", "r2", "r3"], ["r3"]);
    await clock.advance(300);
    expect(registry.isSettled()).toBe(false);
    await clock.advance(700);
    expect(registry.isSettled()).toBe(true);
});

test("a change of a peer's batch jobs or its leaving is reported at once, a change of other fields is not", async () => {
    const { clock, answers, changes } = createFixture(["r1", "r2"]);
    await clock.advance(1_000);
    const before = changes();
    answers.set("r2", statusOf({ sent: { s: 3 } }));
    await clock.advance(500);
    expect(changes()).toBe(before);
    answers.set("r2", statusOf({ running: [{ lot: "a" as BatchJobId, runMs: 5 }] }));
    await clock.advance(500);
    answers.set("r2", statusOf({ running: [{ lot: "a" as BatchJobId, runMs: 505 }], isLeaving: true }));
    await clock.advance(500);
    expect(changes()).toBe(before + 2);
});

test("a peer that changes its address is followed, and one that is deregistered is removed", async () => {
    const { clock, objects, answers, registry, changed } = createFixture(["r1", "r2"]);
    await clock.advance(500);
    objects.set("r2", { host: "r2b", port: 9 });
    answers.set("r2b", statusOf({ incarnation: "second" }));
    changed();
    await clock.advance(500);
    expect(registry.peers().map(peer => peer.status?.incarnation)).toEqual(["second"]);
    objects.delete("r2");
    changed();
    expect(registry.peers()).toEqual([]);
});
