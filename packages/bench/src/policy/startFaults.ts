import type { Clock } from "@auburnarch/types/Clock";
import { match } from "ts-pattern";
import type { createFleet } from "./createFleet.js";
import type { Scenario } from "./Scenario.js";

/** Schedules the faults of a scenario. */
export function startFaults(scenario: Scenario, clock: Clock, fleet: ReturnType<typeof createFleet>): void {
    for (const fault of scenario.faults) {
        const sampler = fleet.samplers[fault.sampler];
        if (sampler === undefined) {
            throw new Error(
                `a fault refers to sampler ${fault.sampler}, but there are only ${fleet.samplers.length}`,
            );
        }
        clock.startTimer(fault.atMs, () =>
            match(fault)
                .with({ kind: "engineCrash" }, crash => {
                    sampler.control.crash();
                    clock.startTimer(crash.downMs, () => sampler.control.restart([]));
                })
                .with({ kind: "vmLost" }, () => sampler.sidecar.kill())
                .with({ kind: "freeze" }, freeze => sampler.freezeUntil(clock.monotonicMs() + freeze.forMs))
                .with({ kind: "swapFailure" }, () => sampler.control.failNextLoad("old"))
                .exhaustive());
    }
}
