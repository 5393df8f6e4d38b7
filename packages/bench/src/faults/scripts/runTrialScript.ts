import { createSidecarFixture } from "@auburnarch/sidecar/testing/createSidecarFixture";
import type { FaultGuards } from "../FaultGuards.js";
import type { ScriptedViolation } from "./ScriptedViolation.js";

const describedMs = 1_500;
const startedMs = 200;

/**
 * A scripted run for a case that random runs rarely produce: a quarantined content gets its trial at a sampler where
 * other work runs. If both ran at once and the engine crashed, the cause would remain as unclear as before.
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
