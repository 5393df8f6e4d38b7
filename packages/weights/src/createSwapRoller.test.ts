import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import { expect, test } from "vitest";
import { createSwapRoller } from "./createSwapRoller.js";
import type { SwapRollerDeps } from "./SwapRollerDeps.js";

const swapMs = 1_000;
const weightsOf = (
    version: number,
): PublishedWeights => ({ policy: "plume", version, location: `w/${version}` } as PublishedWeights);

/** Starts a roller over samplers that take one second to swap; `decide` may make an order fail. */
function start(
    names: string[],
    decide: (sampler: string) => "done" | "throttled" | "unknown" = () => "done",
) {
    const clock = createFakeClock();
    const reports = new Map<string, SamplerReport>();
    /** Reports that the views show instead of the current ones, with the time of each. */
    const viewedReports = new Map<string, { report: SamplerReport; atMs: number; }>();
    const ordered: string[] = [];
    let maxSwapping = 0;
    const join = (sampler: string, version: number): void =>
        void reports.set(sampler, {
            sampler,
            incarnation: "i1",
            sequence: 1,
            state: "ready",
            served: [{ policy: "plume", version }],
            running: 1,
            waiting: 0,
        } as unknown as SamplerReport);
    names.forEach(name => join(name, 1));
    const update = (sampler: string, change: Partial<SamplerReport>): SamplerReport => {
        const before = reports.get(sampler)!;
        const report = { ...before, ...change, sequence: before.sequence + 1 };
        reports.set(sampler, report);
        return report;
    };
    async function order(sampler: string, { order }: SamplerOrder): Promise<SamplerOrderResult> {
        if (order.kind !== "load") {
            throw new Error("only loads are ordered");
        }
        ordered.push(`${clock.monotonicMs()} ${sampler}@${order.version} fencing=${order.fencing}`);
        const end = decide(sampler);
        if (end !== "done") {
            return end === "unknown"
                ? { kind: "unknown", code: resultCodes.connectionBroken }
                : { kind: "refused", code: resultCodes.weightStoreThrottled, report: reports.get(sampler)! };
        }
        update(sampler, { state: "swapping" });
        maxSwapping = Math.max(
            maxSwapping,
            [...reports.values()].filter(report => report.state === "swapping").length,
        );
        await clock.sleep(swapMs);
        const served = [{ policy: order.policy, version: order.version }];
        return { kind: "done", report: update(sampler, { state: "ready", served }) };
    }
    const deps: SwapRollerDeps = {
        job: "job" as SwapRollerDeps["job"],
        policy: "plume" as SwapRollerDeps["policy"],
        fencing: 7 as SwapRollerDeps["fencing"],
        mayAct: () => true,
        limits: () => ({ maxSwappingRatio: 0.34 } as LimitsManifest),
        listSamplers: () =>
            [...reports.values()].map((report): SamplerView => ({
                report: viewedReports.get(report.sampler)?.report ?? report,
                reportAgeMs: clock.monotonicMs()
                    - (viewedReports.get(report.sampler)?.atMs ?? clock.monotonicMs()),
                sentAttempts: 0,
                sentTokens: 0,
                sentSinceReport: 0,
                suspected: false,
            })),
        sidecar: sampler => ({ order: request => order(sampler, request) }),
        clock,
        random: createRandom(1),
        logger: createLogger(clock, () => {}),
        metrics: createMetrics(),
    };
    return {
        clock,
        ordered,
        join,
        reports,
        viewedReports,
        roller: createSwapRoller(deps),
        maxSwapping: () => maxSwapping,
    };
}

test("samplers swap within the ratio until all serve the version, including one that joins late", async () => {
    const { clock, ordered, join, roller, maxSwapping } = start(["a", "b", "c", "d", "e", "f"]);
    roller.publish(weightsOf(2));
    expect(roller.pending()).toHaveLength(6);
    await clock.advance(1_500);
    join("late", 1);
    await clock.advance(4_000);
    expect(roller.pending()).toEqual([]);
    expect(maxSwapping()).toBe(2);
    expect(ordered).toMatchInlineSnapshot(`
      [
        "0 a@2 fencing=7",
        "0 b@2 fencing=7",
        "1000 c@2 fencing=7",
        "1000 d@2 fencing=7",
        "2000 e@2 fencing=7",
        "2000 f@2 fencing=7",
        "3000 late@2 fencing=7",
      ]
    `);
    roller.stop();
});

test("publishing an older version sends no orders", async () => {
    const { clock, ordered, roller } = start(["a"]);
    roller.publish(weightsOf(3));
    await clock.advance(2_000);
    roller.publish(weightsOf(2));
    await clock.advance(2_000);
    expect(ordered).toHaveLength(1);
    roller.stop();
});

test("failed orders are retried with growing pauses and delay no other sampler", async () => {
    // Guards against a sampler that keeps serving old weights for weeks.
    const failures = ["unknown", "throttled", "unknown"] as const;
    let tries = 0;
    const { clock, ordered, roller } = start(
        ["a", "b", "c"],
        sampler => sampler === "a" ? failures[tries++] ?? "done" : "done",
    );
    roller.publish(weightsOf(2));
    await clock.advance(8_000);
    expect(roller.pending()).toEqual([]);
    expect(ordered.filter(line => line.includes("a@"))).toHaveLength(4);
    roller.stop();
    expect(clock.pendingTimers()).toBe(0);
});

test("a sampler that restarted on another VM is ordered once before its first report arrives", async () => {
    // Guards against a thousand orders per second to one sampler.
    const { clock, ordered, reports, viewedReports: shown, roller } = start(["a"]);
    shown.set("a", { report: reports.get("a")!, atMs: 0 });
    reports.set("a", {
        ...reports.get("a")!,
        incarnation: "i2" as SamplerReport["incarnation"],
        sequence: 1,
    });
    await clock.advance(10);
    roller.publish(weightsOf(2));
    await clock.advance(8_000);
    expect(ordered).toHaveLength(1);
    shown.delete("a");
    await clock.advance(2_000);
    expect(roller.pending()).toEqual([]);
    roller.stop();
});

// Guards against a sample that names the old weights although an order whose response was lost has loaded new ones.
test("without stated versions, a sampler's version is unknown from an unanswered to a completed order", async () => {
    const ends: ("done" | "unknown")[] = ["unknown", "done"];
    const { clock, roller, reports } = start(["a"], () => ends.shift() ?? "done");
    const stateNow = (): string =>
        roller.maskUncertainVersion({ report: reports.get("a")!, suspected: false } as unknown as SamplerView)
            .report
            .state;
    const states = [stateNow()];
    roller.publish(weightsOf(2));
    await clock.advance(10);
    states.push(stateNow());
    await clock.advance(100);
    states.push(stateNow());
    await clock.advance(3_000);
    states.push(stateNow());
    roller.stop();
    expect(states).toEqual(["ready", "unknownVersion", "unknownVersion", "ready"]);
});

test("after an unanswered order a sampler that serves the ordered version or states versions stays ready", async () => {
    const { clock, roller, reports } = start(["a", "b"], () => "unknown");
    roller.publish(weightsOf(2));
    await clock.advance(5_000);
    const [a, b] = ["a", "b"].map(name => ({ report: reports.get(name)! }) as unknown as SamplerView);
    const served = [{ policy: "plume", version: 2 }] as unknown as SamplerReport["served"];
    const views = [
        { ...a!, report: { ...a!.report, served } },
        { ...b!, report: { ...b!.report, stampsVersions: true } },
    ];
    roller.stop();
    expect(views.map(view => roller.maskUncertainVersion(view).report.state)).toEqual(["ready", "ready"]);
});
