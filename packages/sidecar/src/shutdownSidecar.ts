import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { SidecarContext } from "./SidecarContext.js";

const idlePollMs = 20;
/** Time after the deadline for the engine to confirm the cancellations. */
const cancelGraceMs = 2_000;

/** Lets all work in flight finish for up to `deadlineMs`, then cancels the rest and waits for it to end. */
export async function shutdownSidecar(context: SidecarContext, deadlineMs: number): Promise<void> {
    const { flags, slots, inFlight } = context;
    const { clock, invariants, logger } = context.deps;

    async function waitIdle(untilMs: number): Promise<void> {
        while (inFlight.size > 0 && clock.monotonicMs() < untilMs && !flags.killed) {
            await clock.sleep(idlePollMs);
        }
    }

    flags.shuttingDown = true;
    // Waiting rollouts have not run; another sampler can start them sooner than this one.
    slots.refuseWaiting(entry => entry.preempt !== undefined, resultCodes.shuttingDown);
    const startedAtMs = clock.monotonicMs();
    await waitIdle(startedAtMs + deadlineMs);
    const cancelled = inFlight.size;
    if (cancelled > 0) {
        slots.refuseWaiting(() => true, resultCodes.shuttingDown);
        inFlight.forEach(work => work.abort());
        await waitIdle(clock.monotonicMs() + cancelGraceMs);
    }
    const left = inFlight.size;
    invariants.check(resultCodes.shutdownCutOff, left === 0 || flags.killed, { left });
    logger.info("gateShutDown", { cancelled, tookMs: Math.round(clock.monotonicMs() - startedAtMs) });
    context.weights?.stop();
}
