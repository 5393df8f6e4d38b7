import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import { expect, test } from "vitest";
import { createReporter } from "./createReporter.js";
import type { ReportMessage } from "./ReportMessage.js";

const places = ["Pamplona", "Lugo", "Burgos"] as FailureDomain[];

const entryVms: VmRecord[] = [0, 1, 2, 3, 4, 5].map(at => ({
    vm: `vm-${at}` as VmId,
    address: `http://10.0.0.${at}:1`,
    failureDomain: places[at % places.length]!,
    region: "norte" as Region,
    role: "entry",
    sampler: undefined,
    state: "live",
}));

const ownVm = "vm-sampler" as VmId;

const silent: Logger = {
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
    child: () => silent,
};

function build(answerReport: (address: string, message: ReportMessage) => Promise<unknown>) {
    const clock = createFakeClock();
    const state = { leaving: 0, sent: [] as { address: string; atMs: number; state: string; }[] };
    const vms = [...entryVms];
    let sequence = 0;
    const reported = { state: "ready" as SamplerReport["state"] };
    const reporter = createReporter({
        sampler: "rollout-1" as SamplerId,
        clock,
        random: createRandom(7),
        logger: silent,
        report: () => ({
            sampler: "rollout-1",
            vm: ownVm,
            sequence: ++sequence,
            state: reported.state,
        } as SamplerReport),
        digest: () => ({ manifest: 0 }),
        wholeDocuments: names => names.map(name => ({ kind: "whole", name, version: 3, value: "good" })),
        onDocuments: () => undefined,
        onLeaving: () => {
            state.leaving++;
        },
        vmList: () => Promise.resolve(vms),
        seeds: [],
        exchange: (address, message) => {
            state.sent.push({ address, atMs: clock.monotonicMs(), state: message.report.state });
            return answerReport(address, message);
        },
    });
    return { clock, reporter, state, reported, vms };
}

const ownRow = { role: "sidecar", sampler: "rollout-1" as SamplerId, state: "leaving" } as const;

const okAnswer = { documents: [], nextReportMs: 1_000, entries: [], leaving: false };

test("an entry that lacks a document gets it with an immediate next report", async () => {
    const receivedDocuments: unknown[] = [];
    const { clock, reporter } = build((_address, message) => {
        receivedDocuments.push(...message.documents ?? []);
        return Promise.resolve(
            receivedDocuments.length > 0 ? okAnswer : { ...okAnswer, wanted: ["manifest"] },
        );
    });
    reporter.start();
    await clock.advance(100);
    reporter.stop();
    expect(receivedDocuments).toContainEqual({ kind: "whole", name: "manifest", version: 3, value: "good" });
});

test("reports go to three entries in three failure domains about once a second", async () => {
    const { clock, reporter, state } = build(() => Promise.resolve(okAnswer));
    reporter.start();
    await clock.advance(10_000);
    reporter.stop();
    const targets = reporter.targets();
    const domains = targets.map(address => entryVms.find(vm => vm.address === address)!.failureDomain);
    expect(new Set(domains).size).toBe(3);
    expect(new Set(state.sent.map(sent => sent.address))).toEqual(new Set(targets));
    expect(state.sent.length).toBeGreaterThanOrEqual(27);
    expect(state.sent.length).toBeLessThanOrEqual(34);
});

test("reports are spread evenly over the interval", async () => {
    // Guards against configuration changes that reach some sidecars only after a whole interval.
    const intervalOf = (address: string): number => 8_600 + 200 * Number(address.at(-3));
    const { clock, reporter, state } = build(address =>
        Promise.resolve({ ...okAnswer, nextReportMs: intervalOf(address) })
    );
    reporter.start();
    await clock.advance(100_000);
    reporter.stop();
    const timesMs = state.sent.map(sent => sent.atMs).filter(atMs => atMs > 15_000);
    const gapsMs = timesMs.slice(1).map((atMs, at) => atMs - timesMs[at]!);
    expect(gapsMs.length).toBeGreaterThan(20);
    expect(Math.max(...gapsMs)).toBeLessThan(4_100);
});

test("a failing entry is replaced immediately by the next in hash order", async () => {
    // Guards against a sampler known to only two entries after the VM of the third was removed.
    const down = new Set<string>();
    const { clock, reporter } = build(address =>
        down.has(address) ? Promise.reject(new Error("refused")) : Promise.resolve(okAnswer)
    );
    reporter.start();
    await clock.advance(3_000);
    const first = reporter.targets();
    down.add(first[0]!);
    await clock.advance(3_000);
    const second = reporter.targets();
    reporter.stop();
    expect(second).toHaveLength(3);
    expect(second).not.toContain(first[0]);
    expect(second).toEqual(expect.arrayContaining(first.slice(1)));
});

test("a change of state while a report is in flight is reported right after it", async () => {
    // Guards against entries sending work to a swapping sampler until its next regular report.
    let answer: ((value: unknown) => void) | undefined;
    const { clock, reporter, state, reported } = build(() => new Promise(resolve => answer = resolve));
    reporter.start();
    await clock.advance(100);
    const before = state.sent.length;
    reported.state = "swapping";
    reporter.reportNow();
    expect(state.sent.length).toBe(before);
    answer!({ ...okAnswer, nextReportMs: 10_000 });
    await clock.advance(0);
    expect(state.sent.slice(before).map(sent => sent.state)).toEqual(["swapping"]);
    reporter.stop();
});

test("a malformed answer counts as a failure, and an answer reports that the VM is leaving", async () => {
    const { clock, reporter, state } = build(address =>
        Promise.resolve(address.endsWith("1:1") ? { nonsense: true } : { ...okAnswer, leaving: true })
    );
    reporter.start();
    await clock.advance(1_500);
    reporter.stop();
    expect(state.leaving).toBeGreaterThan(0);
});

test("a sidecar without any answering entry learns from the VM list that its VM is leaving", async () => {
    // Guards against a leaving sampler, disconnected from its entries, that accepts work from other processes.
    const { clock, reporter, state, vms } = build(() => Promise.reject(new Error("refused")));
    reporter.start();
    await clock.advance(30_000);
    expect(state.leaving).toBe(0);
    vms.push({ ...entryVms[0]!, ...ownRow, vm: ownVm });
    await clock.advance(30_000);
    reporter.stop();
    expect(state.leaving).toBeGreaterThan(0);
});

test("a replacement VM does not take the leaving state of its predecessor for its own", async () => {
    // Guards against all samplers treating themselves as leaving, which stalls their job.
    const { clock, reporter, state, vms } = build(() => Promise.reject(new Error("refused")));
    vms.push({ ...entryVms[0]!, ...ownRow, vm: "vm-former" as VmId });
    reporter.start();
    await clock.advance(30_000);
    reporter.stop();
    expect(state.leaving).toBe(0);
});
