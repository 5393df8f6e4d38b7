import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { expect, test } from "vitest";
import { createDispatcher } from "./createDispatcher.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";

type Outcome = AttemptOutcome<SampleAnswer>;

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const unluckySample = "job/0/0/0";
const samplers = ["s1", "s2", "s3", "s4"];
const crashAfterMs = 50;
const runMs = 200;
const restartMs = 3_000;
/** An item that can run may be at no sampler for this long at most. */
const maxUnplacedMs = 5_000;
/** Retries that may come sooner than after a second. */
const maxQuickRetries = 4;

const viewOf = (sampler: string): SamplerView => ({
    report: {
        sampler,
        vm: `vm-${sampler}`,
        incarnation: sampler,
        state: "ready",
        served: [{ policy: "plume", version: 3 }],
        stampsVersions: true,
        running: 0,
        waiting: 0,
        limit: 2,
        tokensPerSecond: 100,
        maxBatch: 2,
        suspects: [],
    } as unknown as SamplerView["report"],
    reportAgeMs: 0,
    sentAttempts: 0,
    sentTokens: 0,
    sentSinceReport: 0,
    suspected: false,
});

const taskOf = (index: number): SampleTask => ({
    sample: `job/0/${index}/0` as SampleTask["sample"],
    step: 0 as SampleTask["step"],
    group: index,
    index: 0,
    prompt: `prompt ${index}`,
    maxTokens: 100,
    seed: 0,
    digest: "" as SampleTask["digest"],
    needAtMs: 6_000,
    minVersion: 2 as SampleTask["minVersion"],
});

/** Samplers without sidecars, as on the platform: a broken connection doesn't report its cause. */
function createFixture() {
    const clock = createFakeClock();
    const upAtMs = new Map<string, number>();
    const inFlight = new Map<string, Set<(outcome: Outcome) => void>>();
    const crashedRunsAtMs: number[] = [];
    const finishedAtMs: number[] = [];
    let isCalm = false;
    const broken: Outcome = { kind: "unknown", code: resultCodes.connectionBroken };

    function crash(sampler: string): void {
        upAtMs.set(sampler, clock.monotonicMs() + restartMs);
        inFlight.get(sampler)?.forEach(end => end(broken));
    }

    function runSample(sampler: string, attempt: SampleAttempt): Promise<Outcome> {
        if (clock.monotonicMs() < (upAtMs.get(sampler) ?? 0)) {
            return Promise.resolve({ kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: 150 });
        }
        return new Promise(resolve => {
            const running = inFlight.get(sampler) ?? new Set();
            inFlight.set(sampler, running);
            const end = (outcome: Outcome): void => {
                running.delete(end);
                resolve(outcome);
            };
            running.add(end);
            if (attempt.sample === unluckySample && !isCalm) {
                crashedRunsAtMs.push(clock.monotonicMs());
                clock.startTimer(crashAfterMs, () => crash(sampler));
                return;
            }
            const answer = {
                attempt: attempt.attempt,
                sampler,
                spans: [],
                complete: true,
            } as unknown as SampleAnswer;
            clock.startTimer(runMs, () => end({ kind: "ran", answer }));
        });
    }

    const createOwner = (deps: Partial<DispatcherDeps> = {}) =>
        createDispatcher({
            job: () => ({ job: "job", team: "team", policy: "plume", priority: 5 } as unknown as JobManifest),
            limits: () => ({ retryBudgetRatio: 1 } as LimitsManifest),
            fencing: 7 as SampleAttempt["fencing"],
            clock,
            random: createRandom(1),
            logger: silent,
            metrics: createMetrics(),
            listSamplers: () => samplers.map(viewOf),
            sidecar: sampler => ({
                runSample: attempt => runSample(sampler, attempt),
            } as Partial<SidecarPort> as SidecarPort),
            mayAct: () => true,
            onSampleGenerated: () => finishedAtMs.push(clock.monotonicMs()),
            takeRetry: () => true,
            ...deps,
        });
    /** Ends the crashes; all samplers are up again. */
    const calm = (): void => {
        isCalm = true;
        upAtMs.clear();
    };
    return { clock, createOwner, crashedRunsAtMs, finishedAtMs, calm };
}

test("a sample under which every sampler crashes stays owed, at most one attempt a second, and the others finish", async () => {
    // Guards against an item that is never placed again after a burst of crashes, and against attempts without a pause.
    const { clock, createOwner, crashedRunsAtMs, finishedAtMs } = createFixture();
    createOwner().submit(Array.from({ length: 8 }, (_, index) => taskOf(index)));
    await clock.advance(600_000);
    expect(finishedAtMs).toHaveLength(7);
    // The required time for a step is 6 minutes; the other samples finish long before.
    expect(Math.max(...finishedAtMs)).toBeLessThan(6_000);
    const gapsMs = crashedRunsAtMs.slice(1).map((atMs, index) => atMs - crashedRunsAtMs[index]!);
    const sinceLastMs = clock.monotonicMs() - crashedRunsAtMs.at(-1)!;
    expect(Math.max(...gapsMs, sinceLastMs)).toBeLessThanOrEqual(maxUnplacedMs);
    expect(Math.min(...gapsMs.slice(maxQuickRetries))).toBeGreaterThanOrEqual(1_000);
});

test.each([1, 2, 3, 5, 8, 12])(
    "after %i crashes in a row a sound sample runs within a second of the calm, also at another owner",
    async crashes => {
        // Guards against a pause that grows with the crashes and outlasts the time of the step.
        const { clock, createOwner, crashedRunsAtMs, finishedAtMs, calm } = createFixture();
        const owner = createOwner();
        owner.submit([taskOf(0)]);
        await clock.runUntil(() => crashedRunsAtMs.length >= crashes, 60_000);
        await clock.advance(crashAfterMs);
        calm();
        await clock.advance(1_000 + runMs + crashAfterMs);
        expect(finishedAtMs).toHaveLength(1);
        const next = createOwner();
        next.submit([taskOf(0)]);
        await clock.advance(runMs + crashAfterMs);
        expect(finishedAtMs).toHaveLength(2);
        await Promise.all([owner.stop(), next.stop()]);
    },
);
