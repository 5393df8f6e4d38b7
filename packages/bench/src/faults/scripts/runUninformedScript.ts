import { createSidecarFixture } from "@auburnarch/sidecar/testing/createSidecarFixture";
import type { FaultGuards } from "../FaultGuards.js";
import type { ScriptedViolation } from "./ScriptedViolation.js";

const describedMs = 1_500;
const initialConfigWaitMs = 10_000;

/**
 * A scripted run for a case that random runs rarely produce: work arrives at a newly started sidecar from a sender that
 * does not know that its content is quarantined, and before the sidecar has received the quarantine list.
 */
export async function runUninformedScript(guards: FaultGuards): Promise<ScriptedViolation | undefined> {
    const { sidecar, clock, control, attempt } = createSidecarFixture({
        guards: guards.gate,
        initialConfigWaitMs,
    });
    await clock.advance(describedMs);
    const sent = attempt("refused elsewhere");
    void sidecar.runSample(sent, () => undefined, new AbortController().signal);
    await clock.advance(1);
    const hasStarted = control.startsByAttempt().has(sent.attempt);
    sidecar.kill();
    return hasStarted
        ? {
            promise: "ranUninformed",
            detail: "work ran before the sidecar knew what is refused",
            atMs: clock.monotonicMs(),
        }
        : undefined;
}
