import { createSidecarFixture } from "@auburnarch/sidecar/testing/createSidecarFixture";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { VmId } from "@auburnarch/types/VmId";
import type { FaultGuards } from "../FaultGuards.js";
import type { ScriptedViolation } from "./ScriptedViolation.js";

const describedMs = 1_500;
const startedMs = 10;
const crashedVm = "vm-elsewhere" as VmId;

/**
 * A scripted run for a case that random runs rarely produce: two contents that are suspects of the same crash arrive at
 * one sampler at almost the same time. If both started there, a crash of that sampler would convict the innocent one
 * too.
 */
export async function runSuspectsScript(guards: FaultGuards): Promise<ScriptedViolation | undefined> {
    const { sidecar, clock, control, attempt } = createSidecarFixture({ guards: guards.gate });
    await clock.advance(describedMs);
    const record = (digest: string): QuarantineRecord => ({
        digest: digest as ContentDigest,
        deaths: [{ vm: crashedVm, bootId: "boot", atMs: clock.wallMs() }],
        expiresAtMs: clock.wallMs() + 3_600_000,
        liftedAtMs: undefined,
    });
    const attempts = [attempt("killer"), attempt("bystander")];
    sidecar.offerQuarantine(1, attempts.map(each => record(each.digest)));
    for (const each of attempts) {
        void sidecar.runSample(each, () => undefined, new AbortController().signal);
    }
    await clock.advance(startedMs);
    const started = attempts.filter(each => control.startsByAttempt().has(each.attempt)).length;
    sidecar.kill();
    return started < attempts.length
        ? undefined
        : {
            promise: "suspectsTogether",
            detail: "two suspects of one death run at one sampler",
            atMs: clock.monotonicMs(),
        };
}
