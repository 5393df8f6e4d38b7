import { createSidecarFixture } from "@auburnarch/sidecar/testing/createSidecarFixture";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { FaultGuards } from "../FaultGuards.js";
import type { ScriptedViolation } from "./ScriptedViolation.js";

const describedMs = 1_500;
const orderMs = 3_000;
const shutdownDeadlineMs = 10_000;

/**
 * A scripted run for a case that random runs rarely produce: an order to load weights arrives while the sidecar drains
 * its attempts at shutdown. If it were accepted, the engine would be left in the middle of an unsupervised load.
 */
export async function runShutdownScript(guards: FaultGuards): Promise<ScriptedViolation | undefined> {
    const { sidecar, clock, attempt, load } = createSidecarFixture({
        guards: guards.gate,
        engine: { tokensPerSecond: 10 },
    });
    await clock.advance(describedMs);
    void sidecar.runSample(attempt("slow"), () => undefined, new AbortController().signal);
    void sidecar.shutdown(shutdownDeadlineMs);
    let ended: SamplerOrderResult | undefined;
    const recordResult = (result: SamplerOrderResult): void => {
        ended = result;
    };
    // An accepted order rejects when `kill` below ends it.
    void sidecar.order(load(2, 5)).then(recordResult, () => undefined);
    await clock.advance(orderMs);
    const refused = (ended as SamplerOrderResult | undefined)?.kind === "refused";
    const atMs = clock.monotonicMs();
    sidecar.kill();
    return refused
        ? undefined
        : { promise: "orderAfterShutdown", detail: "a load was taken while the sidecar shut down", atMs };
}
