import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Logger } from "@auburnarch/types/Logger";
import type { BenchPolicy } from "./BenchPolicy.js";
import { createEngineMeter } from "./createEngineMeter.js";
import { createFleet } from "./createFleet.js";
import { createInteractiveLoad } from "./createInteractiveLoad.js";
import { quantile } from "./quantile.js";
import type { Scenario } from "./Scenario.js";
import { toManifest } from "./toManifest.js";
import type { Workload } from "./Workload.js";

interface AloneDeps {
    scenario: Scenario;
    workload: Workload;
    policy: BenchPolicy;
    seed: number;
    logger: Logger;
    metrics: Metrics;
}

/** Long enough to compute a p99 over several hundred requests. */
const runMs = 200_000;

/** Measures the p99 latency of the scenario's interactive requests without concurrent rollouts; 0 if it has none. */
export async function measureInteractiveAlone(deps: AloneDeps): Promise<number> {
    const { scenario, workload, policy, logger, metrics } = deps;
    if (scenario.interactive === undefined) {
        return 0;
    }
    const clock = createFakeClock();
    const random = createRandom(deps.seed);
    const fleet = createFleet({
        scenario,
        workload,
        manifest: toManifest(scenario),
        clock,
        random: random.fork(),
        logger,
        metrics,
        meter: createEngineMeter(clock),
    });
    const load = createInteractiveLoad({ scenario, workload, policy, fleet, clock, random: random.fork() });
    await clock.advance(runMs);
    load.stop();
    fleet.stop();
    return quantile(load.latenciesMs, 0.99);
}
