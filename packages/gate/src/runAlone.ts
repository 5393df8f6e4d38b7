import type { GateContext } from "./GateContext.js";
import { holdForTrial } from "./holdForTrial.js";

interface AloneWork {
    isTrial?: boolean;
    budgetMs: number;
}

/**
 * Runs work, and a trial only once nothing else runs here; `run` gets what is left of the budget. Undefined if a trial
 * did not find the sampler idle in time.
 */
export async function runAlone<Result>(
    context: GateContext,
    work: AloneWork,
    signal: AbortSignal,
    run: (budgetMs: number) => Promise<Result>,
): Promise<Result | undefined> {
    if (work.isTrial !== true) {
        // At once: what is sent together must find each other in the queue, or its bound would not hold.
        return await run(work.budgetMs);
    }
    const held = await holdForTrial(context, work.budgetMs, signal);
    if (held === undefined) {
        return undefined;
    }
    try {
        return await run(held.budgetMs);
    }
    finally {
        held.end();
    }
}
