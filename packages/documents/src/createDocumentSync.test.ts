import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { expect, test } from "vitest";
import { createDocumentSync } from "./createDocumentSync.js";
import type { DocumentSync } from "./DocumentSync.js";

const silent: Logger = {
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
    child: () => silent,
};

interface Net {
    /** Share of messages that are lost. */
    loss: number;
    /** True if messages between the two are delivered. */
    connected: (from: number, to: number) => boolean;
}

function build(count: number, relays: number[], isStoreReachable?: () => boolean) {
    const clock = createFakeClock();
    const random = createRandom(11);
    const { store, control } = createFakeObjectStore({ clock, random: random.fork(), latencyMs: 4 });
    const net: Net = { loss: 0, connected: () => true };
    const violations: string[] = [];
    const invariants = createInvariants(silent, code => violations.push(code.name));
    const nodes = new Map<number, DocumentSync>();
    const addressOf = (at: number): string => `entry-${at}`;
    const start = (at: number): DocumentSync => {
        const peers = Array.from({ length: count }, (_, peer) => peer).filter(peer => peer !== at);
        const node = createDocumentSync({
            clock,
            random: random.fork(),
            logger: silent,
            invariants,
            store,
            isStoreReachable,
            listPeers: () =>
                peers.map(peer => ({ address: addressOf(peer), failureDomain: "Lugo" as FailureDomain })),
            isRelay: () => relays.includes(at),
            exchange: async (address, message) => {
                const to = Number(address.slice("entry-".length));
                const wire = JSON.stringify(message);
                await clock.sleep(1);
                const target = nodes.get(to);
                if (target === undefined || random.nextUnit() < net.loss || !net.connected(at, to)) {
                    throw new Error("unreachable");
                }
                return JSON.parse(JSON.stringify(target.receive(JSON.parse(wire)))) as unknown;
            },
            faultsOf: ({ value }) => value === "bad" ? [{ path: "", message: "bad" }] : [],
        });
        nodes.set(at, node);
        node.start();
        return node;
    };
    Array.from({ length: count }, (_, at) => start(at));
    const versions = (): Set<number> =>
        new Set([...nodes.values()].map(node => node.get("manifest")?.version ?? 0));
    let published = 0 as ObjectVersion;
    const publish = async (value: unknown): Promise<number> => {
        const writing = store.write("config/manifest", value, published);
        await clock.advance(20);
        const outcome = await writing;
        published = outcome.kind === "written" ? outcome.version : published;
        return published;
    };
    const isActive = (version: number) => (): boolean => versions().size === 1 && versions().has(version);
    const stop = (): void => nodes.forEach(node => node.stop());
    return { clock, control, net, nodes, start, publish, isActive, versions, violations, stop };
}

test("a published manifest is active on 40 entries within seconds although a third of the messages is lost", async () => {
    const fleet = build(40, [0, 1, 2]);
    fleet.net.loss = 0.33;
    await fleet.clock.advance(2_000);
    const version = await fleet.publish({ a: 1 });
    expect(await fleet.clock.runUntil(fleet.isActive(version), 14_000)).toBe(true);
    expect([...fleet.nodes.values()].every(node => node.isCaughtUp())).toBe(true);
    fleet.stop();
});

test("only relays call the object API, and only rarely", async () => {
    const fleet = build(12, [4, 7, 9]);
    await fleet.clock.advance(300_000);
    const counts = fleet.control.calls();
    const calls = Object.values(counts).reduce((sum, count) => sum + count, 0);
    // Three relays, two prefixes, one list each and a long poll every 30 s.
    expect(calls).toBeLessThanOrEqual(3 * 2 * 12);
    fleet.stop();
});

test("a change spreads despite two crashed relays, and a stale store reverts no entry", async () => {
    // Guards against entries that revert to an older manifest after a failover of the store.
    const fleet = build(12, [0, 1, 2]);
    await fleet.publish("A");
    const version = await fleet.publish("B");
    expect(await fleet.clock.runUntil(fleet.isActive(version), 14_000)).toBe(true);
    fleet.control.setStaleReads(1);
    fleet.control.setOutage(true);
    await fleet.clock.advance(15_000);
    fleet.control.setOutage(false);
    await fleet.clock.advance(60_000);
    expect(fleet.versions()).toEqual(new Set([version]));
    fleet.control.setStaleReads(0);
    fleet.nodes.get(0)!.stop();
    fleet.nodes.get(1)!.stop();
    fleet.nodes.delete(0);
    fleet.nodes.delete(1);
    const next = await fleet.publish("C");
    expect(await fleet.clock.runUntil(fleet.isActive(next), 14_000)).toBe(true);
    expect(fleet.violations).toEqual([]);
    fleet.stop();
});

test("a partition of minutes keeps its last version and applies the latest one after reconnecting", async () => {
    const fleet = build(12, [0, 1, 2]);
    const first = await fleet.publish("A");
    await fleet.clock.runUntil(fleet.isActive(first), 14_000);
    fleet.net.connected = (from, to) => (from < 6) === (to < 6);
    const second = await fleet.publish("B");
    await fleet.clock.advance(180_000);
    expect(fleet.versions()).toEqual(new Set([first, second]));
    fleet.net.connected = () => true;
    expect(await fleet.clock.runUntil(fleet.isActive(second), 14_000)).toBe(true);
    expect(fleet.violations).toEqual([]);
    fleet.stop();
});

test("an entry that restarts during a store outage gets the manifest from its peers before it is caught up", async () => {
    const fleet = build(4, [0]);
    const version = await fleet.publish("A");
    await fleet.clock.runUntil(fleet.isActive(version), 14_000);
    fleet.control.setOutage(true);
    fleet.nodes.get(0)!.stop();
    const restarted = fleet.start(0);
    expect(restarted.isCaughtUp()).toBe(false);
    await fleet.clock.runUntil(() => restarted.isCaughtUp(), 14_000);
    expect(restarted.get("manifest")?.version).toBe(version);
    fleet.stop();
});

test("an invalid manifest in the store becomes active on no entry", async () => {
    const fleet = build(6, [0, 1, 2]);
    const good = await fleet.publish("A");
    await fleet.clock.runUntil(fleet.isActive(good), 14_000);
    await fleet.publish("bad");
    await fleet.clock.advance(20_000);
    expect(fleet.versions()).toEqual(new Set([good]));
    fleet.stop();
});

test("a malformed message is rejected with badRequest", () => {
    const fleet = build(1, []);
    expect(() => fleet.nodes.get(0)!.receive({ checksum: 3 })).toThrow("badRequest");
    expect(() => fleet.nodes.get(0)!.receive({ checksum: "a", documents: [{ kind: "whole" }] })).toThrow(
        "badRequest",
    );
    fleet.stop();
});

test("an entry that starts alone during a long outage has the manifest soon after the outage", async () => {
    // Guards against sidecars without a manifest three seconds after the store has recovered.
    const fleet = build(1, [0]);
    const version = await fleet.publish("good");
    await fleet.clock.advance(200);
    fleet.stop();
    fleet.control.setOutage(true);
    const startedEntry = fleet.start(0);
    await fleet.clock.advance(20_000);
    fleet.control.setOutage(false);
    await fleet.clock.advance(2_600);
    expect(startedEntry.get("manifest")?.version).toBe(version);
    fleet.stop();
});

// Guards against a manifest that is not active eight seconds after a long outage, although other calls succeed.
test("an entry whose other calls succeed again after a long outage reads changes soon after", async () => {
    let isReachable = true;
    const fleet = build(1, [0], () => isReachable);
    await fleet.publish("before");
    await fleet.clock.advance(1_000);
    isReachable = false;
    fleet.control.setOutage(true);
    await fleet.clock.advance(40_000);
    fleet.control.setOutage(false);
    isReachable = true;
    const version = await fleet.publish("after");
    await fleet.clock.advance(2_000);
    expect(fleet.nodes.get(0)!.get("manifest")?.version).toBe(version);
    fleet.stop();
});
