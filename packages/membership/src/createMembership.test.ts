import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createSleep } from "@auburnarch/clock/createSleep";
import type { Clock } from "@auburnarch/types/Clock";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import { expect, test } from "vitest";
import { createMembership } from "./createMembership.js";
import type { Membership } from "./Membership.js";
import type { ReportMessage } from "./ReportMessage.js";

const silent: Logger = {
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
    child: () => silent,
};

const recordOf = (at: number, regions: number): EntryRecord => ({
    entry: `entry-${at}` as EntryId,
    vm: `vm-${at}` as VmId,
    address: `http://10.0.0.${at}:1`,
    failureDomain: `place-${at % (3 * regions)}` as FailureDomain,
    region: `region-${at % regions}` as Region,
});

const toVm = (record: EntryRecord): VmRecord => ({
    ...record,
    role: "entry",
    sampler: undefined,
    state: "live",
});

function build(count: number, regions = 1) {
    const clock = createFakeClock();
    const random = createRandom(5);
    const nodes = new Map<string, Membership>();
    /** Timers of paused entries, run when the entries resume. */
    const pausedTimers = new Map<number, (() => void)[]>();
    const createPausableClock = (at: number): Clock => {
        const startTimer: Clock["startTimer"] = (delayMs, run) =>
            clock.startTimer(
                delayMs,
                () => pausedTimers.has(at) ? void pausedTimers.get(at)!.push(run) : run(),
            );
        return { ...clock, startTimer, sleep: createSleep(startTimer) };
    };
    const pause = (at: number, paused: boolean): void => {
        const waiting = pausedTimers.get(at) ?? [];
        if (paused) {
            pausedTimers.set(at, []);
            return;
        }
        pausedTimers.delete(at);
        waiting.forEach(run => run());
    };
    const net = { connected: (_from: number, _to: string): boolean => true };
    const vms = { list: Array.from({ length: count }, (_, at) => toVm(recordOf(at, regions))) };
    const start = (at: number, wallShiftMs = 0, address?: string): Membership => {
        const self = { ...recordOf(at, regions), ...(address === undefined ? {} : { address }) };
        const node = createMembership({
            self,
            clock: { ...createPausableClock(at), wallMs: () => clock.wallMs() + wallShiftMs },
            random: random.fork(),
            logger: silent,
            vmList: () => Promise.resolve(vms.list),
            seeds: [],
            exchange: async (address, message) => {
                const wire = JSON.stringify(message);
                await clock.sleep(1);
                const target = nodes.get(address);
                if (pausedTimers.has(Number(address.split(".")[3]!.split(":")[0]))) {
                    // A paused process accepts messages and answers none.
                    return new Promise(() => undefined);
                }
                if (target === undefined || !net.connected(at, address)) {
                    throw new Error("unreachable");
                }
                const answer = await target.receiveGossip(JSON.parse(wire));
                return JSON.parse(JSON.stringify(answer)) as unknown;
            },
            newerDocuments: () => [],
            absentDocuments: () => [],
            acceptDocuments: () => undefined,
        });
        nodes.set(self.address, node);
        node.start();
        return node;
    };
    const all = Array.from({ length: count }, (_, at) => start(at));
    const crash = (at: number): void => {
        const { address } = recordOf(at, regions);
        nodes.get(address)?.stop();
        nodes.delete(address);
    };
    const areAllKnown = (known: number) => (): boolean =>
        [...nodes.values()].every(node => node.listPeers().length === known - 1);
    return { clock, nodes, net, vms, start, all, crash, pause, areAllKnown };
}

test("entries discover each other from the VM list and choose the same relays in different failure domains", async () => {
    const fleet = build(24);
    expect(await fleet.clock.runUntil(fleet.areAllKnown(24), 30_000)).toBe(true);
    const relays = fleet.all.flatMap((node, at) => node.isRelay() ? [recordOf(at, 1).failureDomain] : []);
    expect(relays).toHaveLength(3);
    expect(new Set(relays).size).toBe(3);
});

test("each region has its own relays", async () => {
    const fleet = build(24, 2);
    expect(await fleet.clock.runUntil(fleet.areAllKnown(24), 30_000)).toBe(true);
    const regions = fleet.all.flatMap((node, at) => node.isRelay() ? [recordOf(at, 2).region] : []);
    expect(regions.sort()).toEqual(["region-0", "region-0", "region-1", "region-1"]);
});

test("crashed entries are suspected everywhere although the VM list still shows them as live", async () => {
    const fleet = build(12);
    await fleet.clock.advance(30_000);
    fleet.crash(3);
    fleet.crash(4);
    expect(await fleet.clock.runUntil(fleet.areAllKnown(10), 60_000)).toBe(true);
});

test("all entries of a crashed failure domain are suspected, and the others continue", async () => {
    const fleet = build(24);
    await fleet.clock.advance(30_000);
    const crashing = Array.from({ length: 24 }, (_, at) => at).filter(at => at % 3 === 0);
    crashing.forEach(fleet.crash);
    expect(await fleet.clock.runUntil(fleet.areAllKnown(16), 120_000)).toBe(true);
    expect([...fleet.nodes.values()].filter(node => node.isRelay()).length).toBeGreaterThanOrEqual(2);
});

test("all entries know each other after a rolling restart", async () => {
    // Guards against entries that answer but stay suspected after a rolling restart.
    const fleet = build(12);
    await fleet.clock.advance(20_000);
    for (let at = 0; at < 12; at++) {
        fleet.crash(at);
        await fleet.clock.advance(2_000);
        fleet.start(at);
        await fleet.clock.advance(3_000);
    }
    expect(await fleet.clock.runUntil(fleet.areAllKnown(12), 60_000)).toBe(true);
});

test("a live entry stays known although the VM list no longer contains it", async () => {
    // Guards against a working entry that gets no reports and no documents.
    const fleet = build(6);
    await fleet.clock.advance(20_000);
    fleet.vms.list = fleet.vms.list.slice(1);
    await fleet.clock.advance(180_000);
    expect(fleet.areAllKnown(6)()).toBe(true);
});

test("a link that works in one direction only does not cause suspicion", async () => {
    // Guards against entry 0 being alternately suspected and trusted by its peers.
    const fleet = build(12);
    await fleet.clock.advance(20_000);
    fleet.net.connected = (from, to) => !(from === 0 && to === recordOf(1, 1).address);
    for (let second = 0; second < 300; second++) {
        await fleet.clock.advance(1_000);
        const suspectedBy = fleet.all.filter(node => node.listEntries().some(view => view.suspected));
        expect(suspectedBy).toEqual([]);
    }
});

test("two partitioned regions continue and know each other again after the partition", async () => {
    const fleet = build(12, 2);
    await fleet.clock.advance(30_000);
    fleet.net.connected = (from, to) => from % 2 === Number(to.split(".")[3]!.split(":")[0]) % 2;
    await fleet.clock.advance(300_000);
    const peerCounts = fleet.all.map(node => node.listPeers().length);
    expect(Math.min(...peerCounts)).toBeGreaterThanOrEqual(5);
    expect(fleet.all.filter(node => node.isRelay())).toHaveLength(4);
    fleet.net.connected = () => true;
    expect(await fleet.clock.runUntil(fleet.areAllKnown(12), 120_000)).toBe(true);
});

test("an entry that restarts with its wall clock set back is trusted again", async () => {
    // Guards against a restarted entry that stays suspected although it answers.
    const fleet = build(6);
    await fleet.clock.advance(20_000);
    fleet.crash(2);
    await fleet.clock.advance(30_000);
    fleet.start(2, -3_600_000);
    expect(await fleet.clock.runUntil(fleet.areAllKnown(6), 60_000)).toBe(true);
});

test("an entry that restarts with another address is reached at the new address", async () => {
    // Guards against reports and documents sent to an address that is no longer in use.
    const fleet = build(8);
    await fleet.clock.advance(20_000);
    fleet.crash(2);
    fleet.start(2, 0, "http://10.0.9.9:1");
    const known = (): boolean =>
        [...fleet.nodes.values()].filter(node =>
            node.listPeers().some(peer => peer.address === "http://10.0.9.9:1")
        )
            .length === 7;
    expect(await fleet.clock.runUntil(known, 60_000)).toBe(true);
});

test("an entry that was paused for minutes suspects no other entry and is trusted again", async () => {
    // Guards against the fleet suspecting healthy entries after one VM was paused.
    const fleet = build(12);
    await fleet.clock.advance(20_000);
    const suspicionsOfOthers = (): number =>
        fleet.all.slice(1).flatMap(node => node.listEntries())
            .filter(view => view.suspected && view.record.entry !== "entry-0").length;
    fleet.pause(0, true);
    await fleet.clock.advance(180_000);
    expect(fleet.areAllKnown(12)()).toBe(false);
    fleet.pause(0, false);
    for (let second = 0; second < 30; second++) {
        await fleet.clock.advance(1_000);
        expect(suspicionsOfOthers()).toBe(0);
    }
    expect(await fleet.clock.runUntil(fleet.areAllKnown(12), 60_000)).toBe(true);
});

const reportOf = (
    sampler: string,
    sequence: number,
    fields: Partial<Record<string, unknown>> = {},
): ReportMessage => ({
    report: {
        sampler,
        vm: `vm-of-${sampler}`,
        incarnation: "run-1",
        sequence,
        address: "http://10.1.0.1:1",
        failureDomain: "Lugo",
        region: "norte",
        service: "rollouts",
        state: "ready",
        served: [],
        running: 0,
        waiting: 0,
        limit: 8,
        tokensPerSecond: 50,
        maxBatch: 8,
        configVersion: 1,
        suspects: [],
        ...fields,
    } as unknown as SamplerReport,
    digest: { manifest: 0 },
    knownEntries: 1,
});

test("reports that arrive out of order or from an earlier incarnation do not replace newer ones", async () => {
    const [node] = build(1).all as [Membership];
    const running = (): number | undefined => node.listReports()[0]?.report.running;
    node.receiveReport(reportOf("s1", 2, { running: 2 }));
    node.receiveReport(reportOf("s1", 1, { running: 1 }));
    expect(running()).toBe(2);
    node.receiveReport(reportOf("s1", 1, { running: 7, incarnation: "run-2" }));
    expect(running()).toBe(7);
    node.receiveReport(reportOf("s1", 2, { running: 2 }));
    expect(running()).toBe(7);
});

test("a sampler whose VM is listed as leaving is reported as leaving, and its sidecar is notified", async () => {
    const fleet = build(2);
    const [node] = fleet.all as [Membership, Membership];
    await fleet.clock.advance(1_000);
    node.receiveReport(reportOf("s1", 1));
    const record = {
        ...fleet.vms.list[0]!,
        vm: "vm-of-s1" as VmId,
        role: "sidecar" as const,
        state: "leaving" as const,
    };
    fleet.vms.list = [...fleet.vms.list, record];
    await fleet.clock.advance(6_000);
    expect(node.listReports()[0]!.report.state).toBe("leaving");
    expect(node.receiveReport(reportOf("s1", 2)).leaving).toBe(true);
});

test("the interval between reports grows with the number of reporters", () => {
    const [node] = build(1).all as [Membership];
    const intervals = [1, 10, 30, 200].map(count => {
        for (let at = 0; at < count; at++) {
            node.receiveReport(reportOf(`s${at}`, count));
        }
        return Math.round(node.receiveReport(reportOf("s0", 10_000 + count)).nextReportMs);
    });
    expect(intervals[0]).toBe(1_000);
    expect(intervals[2]).toBeGreaterThan(intervals[1]!);
    expect(intervals[3]).toBe(12_000);
});

test("malformed messages are rejected with badRequest and change nothing", async () => {
    const [node] = build(1).all as [Membership];
    expect(() => node.receiveReport({ report: {} })).toThrow("badRequest");
    expect(() => node.receiveReport(reportOf("s1", -1))).toThrow("badRequest");
    await expect(node.receiveGossip({ from: 3 })).rejects.toThrow("badRequest");
    expect(node.listReports()).toEqual([]);
});
