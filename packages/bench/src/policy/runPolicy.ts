import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { BenchPolicy } from "./BenchPolicy.js";
import { createEngineMeter } from "./createEngineMeter.js";
import { createFleet } from "./createFleet.js";
import { createInteractiveLoad } from "./createInteractiveLoad.js";
import { createShareMeter } from "./createShareMeter.js";
import { createTrainerLoop } from "./createTrainerLoop.js";
import { drawWorkload } from "./drawWorkload.js";
import { measureInteractiveAlone } from "./measureInteractiveAlone.js";
import { measureRun } from "./measureRun.js";
import type { RunResult } from "./RunResult.js";
import type { Scenario } from "./Scenario.js";
import { startFaults } from "./startFaults.js";
import { toManifest } from "./toManifest.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const noopMetrics: Metrics = {
    count: () => {},
    set: () => {},
    observeMs: () => {},
    render: async () => "",
};
const warmUpIntervals = 6;
/** Keeps the random draws of the run apart from those of the workload, which is the same for all policies. */
const runSeedFactor = 7_919;

/**
 * Runs one policy on one scenario and seed: real dispatchers, swap rollers and sidecars with fake engines and a fake
 * clock. `createLogger` creates the logger that receives the decisions.
 */
export async function runPolicy(
    scenario: Scenario,
    policy: BenchPolicy,
    seed: number,
    createLogger: (clock: Clock) => Logger = () => silent,
): Promise<RunResult> {
    const startedAtMs = performance.now();
    const clock = createFakeClock();
    const logger = createLogger(clock);
    const random = createRandom(seed * runSeedFactor);
    const workload = drawWorkload(scenario, seed);
    const meter = createEngineMeter(clock);
    const manifest = toManifest(scenario);
    const shared = { clock, logger, metrics: noopMetrics };
    const fleet = createFleet({ ...shared, scenario, workload, manifest, meter, random: random.fork() });
    const loops = scenario.jobs.map((job, index) =>
        createTrainerLoop({
            ...shared,
            scenario: job,
            manifest: manifest.manifest.jobs[index]!,
            limits: manifest.manifest.limits,
            workload: workload.jobs[index]!,
            policy,
            fleet,
            warmUpMs: warmUpIntervals * scenario.reports.intervalMs + scenario.reports.lagMs,
            random: random.fork(),
        })
    );
    const interactive = createInteractiveLoad({
        scenario,
        workload,
        policy,
        fleet,
        clock,
        random: random.fork(),
    });
    const shares = createShareMeter(scenario, clock, meter, loops);
    startFaults(scenario, clock, fleet);

    const isFinished = (): boolean => loops.every(loop => loop.measures.isFinished);
    await clock.runUntil(isFinished, scenario.maxMs);
    shares.stop();
    interactive.stop();
    const stopped = Promise.all(loops.map(loop => loop.stop()));
    fleet.stop();
    await clock.advance(2_000);
    await stopped;
    return measureRun({
        scenario,
        workload,
        policy: policy.name,
        seed,
        jobs: loops.map(loop => loop.measures),
        use: meter.read(),
        interactive,
        interactiveAloneMsP99: await measureInteractiveAlone({
            scenario,
            workload,
            policy,
            seed,
            logger,
            metrics: noopMetrics,
        }),
        shareError: shares.error(),
        violations: fleet.violations(),
        runMs: performance.now() - startedAtMs,
    });
}
