import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SidecarContext } from "./SidecarContext.js";

/**
 * Running unstamped samples get this long to finish before a swap cancels them; the tokens generated so far are kept.
 */
const drainTimeoutMs = 20_000;

/**
 * Resolves once no sample of the policy runs; the caller must have paused new work. An engine that does not stamp its
 * chunks would otherwise swap in the middle of a sample, and the version of its tokens could not be determined later.
 */
export async function drainPolicy(context: SidecarContext, policy: PolicyId): Promise<void> {
    if (context.guards.swapDrained(context.slots.runningOf(policy))) {
        return;
    }
    await new Promise<void>(resolve => {
        const cancelTimer = context.deps.clock.startTimer(
            drainTimeoutMs,
            () => cancelRunning(context, policy),
        );
        context.slots.onDrained(policy, () => {
            cancelTimer();
            resolve();
        });
    });
}

function cancelRunning(context: SidecarContext, policy: PolicyId): void {
    context.deps.logger.warn("swapDrainTimeout", { policy, running: context.slots.runningOf(policy) });
    for (const generation of context.generations) {
        if (generation.policy === policy) {
            generation.cancel();
        }
    }
}
