import { createSidecarFixture } from "@auburnarch/sidecar/testing/createSidecarFixture";
import type { FaultGuards } from "../FaultGuards.js";
import type { ScriptedViolation } from "./ScriptedViolation.js";

const describedMs = 1_500;
const startedMs = 200;

/**
 * A scripted run for what the random ones bring about too rarely: a refused content has its one run at a sampler where
 * other work runs. If both ran at once and the sampler died, its death would tell as little as those before it.
 */
export async function runTrialScript(guards: FaultGuards): Promise<ScriptedViolation | undefined> {
    const { sidecar, clock, control, attempt } = createSidecarFixture({ guards: guards.gate });
    await clock.advance(describedMs);
    const attempts = [attempt("before"), attempt("trial", { isTrial: true }), attempt("after")];
    for (const each of attempts) {
        void sidecar.runSample(each, () => undefined, new AbortController().signal);
        await clock.advance(startedMs);
    }
    const running = attempts.filter(each => control.startsByAttempt().has(each.attempt)).length;
    sidecar.kill();
    return running < 2
        ? undefined
        : {
            promise: "trialNotAlone",
            detail: `a trial and ${running - 1} others run at one sampler`,
            atMs: clock.monotonicMs(),
        };
}
