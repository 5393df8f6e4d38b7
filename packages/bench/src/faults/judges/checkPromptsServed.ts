import type { RunParts } from "../RunParts.js";

/** Time within which a step is to be whole; a content that kills nothing is served within it. */
const servedWithinMs = 6 * 60_000;

/**
 * Asks once more for every prompt of which an attempt ended without an answer, as a trainer does that meets a prompt
 * again. None of them kills engines, so all must be made, whatever deaths they were in flight at. What the product
 * itself takes for guilty plays no part here. True if they were.
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
