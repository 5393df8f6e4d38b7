import { createDispatcher } from "@auburnarch/dispatch/createDispatcher";
import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createSwapRoller } from "@auburnarch/weights/createSwapRoller";
import type { SwapRoller } from "@auburnarch/weights/SwapRoller";
import type { BenchPolicy } from "./BenchPolicy.js";
import type { createFleet } from "./createFleet.js";
import { createJobMeasures } from "./createJobMeasures.js";
import { createStepLedger } from "./createStepLedger.js";
import type { JobMeasures } from "./JobMeasures.js";
import { recordDelivery } from "./recordDelivery.js";
import type { Scenario } from "./Scenario.js";
import { toTasks } from "./toTasks.js";
import type { Workload } from "./Workload.js";

interface TrainerLoopDeps {
    scenario: Scenario["jobs"][number];
    manifest: JobManifest;
    limits: LimitsManifest;
    workload: Workload["jobs"][number];
    policy: BenchPolicy;
    fleet: ReturnType<typeof createFleet>;
    clock: Clock;
    random: Random;
    /** Time until every sampler has sent a report. */
    warmUpMs: number;
    logger: Logger;
    metrics: Metrics;
}

interface TrainerLoop {
    measures: JobMeasures;
    /** Number of samples that are opened but not generated yet. */
    countPending(): number;
    stop(): Promise<void>;
}

const fencing = 1 as FencingNumber;

/** Starts one job: its dispatcher, its swap roller, and a trainer that reads groups, trains and publishes weights. */
export function createTrainerLoop(deps: TrainerLoopDeps): TrainerLoop {
    const { scenario, manifest, workload, policy, fleet, clock, random, logger, metrics } = deps;
    const ledger = createStepLedger();
    const publishedAtMs: number[] = [];
    const openedAtMs: number[] = [];
    const pendingOf: number[] = [];
    let published = 0 as WeightVersion;
    const bound = scenario.maxStalenessVersions;
    let wakeTrainer = (): void => {};
    const measures = createJobMeasures(scenario.job, scenario.team);

    const minVersion = (): WeightVersion =>
        Math.max(0, published - scenario.maxStalenessVersions) as WeightVersion;

    const common = {
        fencing,
        clock,
        random: random.fork(),
        logger,
        metrics,
        limits: () => deps.limits,
        listSamplers: fleet.listSamplers,
        sidecar: fleet.sidecar,
        mayAct: () => true,
    };
    const roller: SwapRoller = createSwapRoller({
        ...common,
        job: manifest.job,
        policy: manifest.policy,
        minVersion,
        plan: policy.planSwaps,
    });
    const dispatcher: Dispatcher = createDispatcher({
        ...common,
        job: () => manifest,
        isAboutToSwap: roller.isAboutToSwap,
        onSampleGenerated: onGenerated,
    }, policy.dispatch);

    function onGenerated(made: GeneratedSample): void {
        const step = made.task.step;
        ledger.take(made);
        pendingOf[step]!--;
        if (pendingOf[step] === 0) {
            measures.stepMs[step] = clock.monotonicMs() - openedAtMs[step]!;
        }
        wakeTrainer();
    }

    function openStep(step: number): void {
        const needAtMs = clock.monotonicMs() + scenario.stepNeedMs;
        const tasks = toTasks(scenario.job, step, workload.steps[step]!.groups, {
            maxTokens: scenario.length.maxTokens,
            needAtMs,
            minVersion: minVersion(),
        });
        openedAtMs[step] = clock.monotonicMs();
        pendingOf[step] = tasks.length;
        ledger.open(tasks);
        dispatcher.submit(tasks);
    }

    function publish(version: number): void {
        published = version as WeightVersion;
        publishedAtMs[version] = clock.monotonicMs();
        roller.publish({ policy: manifest.policy, version: published, location: `weights/${version}` });
        dispatcher.raiseMinVersion(published, minVersion());
    }

    function deliver(step: number): void {
        const { delivered, regenerate } = ledger.deliver(step, minVersion());
        const nowMs = clock.monotonicMs();
        delivered.forEach(made => recordDelivery(measures, made, { published, publishedAtMs, nowMs, bound }));
        measures.regenerated += regenerate.length;
        if (regenerate.length > 0) {
            pendingOf[step]! += regenerate.length;
            dispatcher.submit(regenerate);
        }
    }

    async function awaitStep(step: number): Promise<void> {
        deliver(step);
        while (!ledger.isDelivered(step)) {
            await new Promise<void>(resolve => {
                wakeTrainer = resolve;
            });
            deliver(step);
        }
    }

    async function train(step: number): Promise<void> {
        const { trainerMs, publishesPerStep } = scenario;
        for (let part = 1; part <= publishesPerStep; part++) {
            await clock.sleep(trainerMs / publishesPerStep);
            publish(step * publishesPerStep + part);
        }
    }

    async function run(): Promise<void> {
        await clock.sleep(scenario.startMs + deps.warmUpMs);
        publish(0);
        const last = scenario.steps - 1;
        let firstTrainedMs = 0;
        for (let step = 0; step <= last; step++) {
            const readyAtMs = clock.monotonicMs();
            while (openedAtMs.length <= Math.min(last, step + scenario.stepsAhead)) {
                openStep(openedAtMs.length);
            }
            await awaitStep(step);
            measures.waitedMs.push(clock.monotonicMs() - readyAtMs);
            if (step === 0) {
                firstTrainedMs = clock.monotonicMs();
            }
            else {
                measures.idleMs += clock.monotonicMs() - readyAtMs;
            }
            await train(step);
            measures.spanMs = clock.monotonicMs() - firstTrainedMs;
        }
        measures.isFinished = true;
    }

    void run();
    return {
        measures,
        countPending: ledger.countPending,
        stop: async () => {
            roller.stop();
            await dispatcher.stop();
        },
    };
}
