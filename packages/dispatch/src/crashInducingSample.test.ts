import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";
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
import type { SampleBreaks } from "./SampleBreaks.js";

type Outcome = AttemptOutcome<SampleAnswer>;

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const crashInducingSample = "job/0/0/0";
const samplers = ["s1", "s2", "s3", "s4"];
const crashAfterMs = 50;
const runMs = 200;
const restartMs = 3_000;

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
    const crashingRunsAtMs: number[] = [];
    const finishedAtMs: number[] = [];
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
            if (attempt.sample === crashInducingSample) {
                crashingRunsAtMs.push(clock.monotonicMs());
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

    const breaksAtMs = new Map<string, number[]>();
    const breaksOf = (sample: string): number[] => breaksAtMs.get(sample) ?? [];
    const sampleBreaks: SampleBreaks = {
        pauseMs: sample => {
            const pauseMs = pauseAfterBreaks(breaksOf(sample).length);
            return Math.max(0, (breaksOf(sample).at(-1) ?? 0) + pauseMs - clock.monotonicMs());
        },
        recordBreak: sample => breaksAtMs.set(sample, [...breaksOf(sample), clock.monotonicMs()]),
        recordCompletion: sample => breaksAtMs.delete(sample),
    };

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
    return { clock, createOwner, sampleBreaks, crashingRunsAtMs, finishedAtMs };
}

test("a sample that crashes every sampler gets at most three more attempts after the third, and the others finish", async () => {
    const { clock, createOwner, crashingRunsAtMs, finishedAtMs } = createFixture();
    createOwner().submit(Array.from({ length: 8 }, (_, index) => taskOf(index)));
    await clock.advance(600_000);
    expect(finishedAtMs).toHaveLength(7);
    // The required time for a step is 6 minutes; the other samples finish long before.
    expect(Math.max(...finishedAtMs)).toBeLessThan(6_000);
    expect(crashingRunsAtMs.length - 3).toBeLessThanOrEqual(3);
});

test("a sample that crashes every sampler keeps its pause when another owner takes it over", async () => {
    // Guards against crashes that are forgotten with the owner that saw them.
    const { clock, createOwner, sampleBreaks, crashingRunsAtMs } = createFixture();
    const limitFromMs = 3_000;
    for (let owner = 0; owner < 5; owner++) {
        const dispatcher = createOwner({ sampleBreaks });
        dispatcher.submit([taskOf(0)]);
        await clock.advance(6_000);
        await dispatcher.stop();
    }
    const late = crashingRunsAtMs.filter(atMs => atMs > crashingRunsAtMs[2]! + limitFromMs);
    expect(late.length).toBeLessThanOrEqual(3);
});
