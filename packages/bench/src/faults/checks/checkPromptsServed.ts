import type { RunParts } from "../RunParts.js";

/** Time within which a step must be complete; innocent requests must be served within it. */
const servedWithinMs = 6 * 60_000;

/**
 * Requests again every prompt of which an attempt ended with an unknown outcome, as a trainer does that draws a prompt
 * again. None of them crashes engines, so all must be served, whatever crashes they were in flight at and whatever the
 * quarantine contains. Returns whether they were.
 */
export async function checkPromptsServed({ simulation, trainer }: RunParts): Promise<boolean> {
    const prompts = simulation.observer.listInterruptedPrompts();
    if (prompts.length === 0) {
        return true;
    }
    let isServed = false;
    void trainer.trainer.runExtraStep(prompts).then(() => {
        isServed = true;
    });
    await simulation.clock.runUntil(() => isServed, servedWithinMs);
    if (!isServed) {
        simulation.violations.add("innocentRefused", `${prompts.length} prompts asked for again`);
    }
    return isServed;
}
