import type { GateContext } from "./GateContext.js";

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
        return await run(work.budgetMs);
    }
    const { clock } = context.deps;
    const receivedAtMs = clock.monotonicMs();
    const endHold = await context.trials.begin(signal);
    if (endHold === undefined) {
        return undefined;
    }
    try {
        return await run(work.budgetMs - (clock.monotonicMs() - receivedAtMs));
    }
    finally {
        endHold();
    }
}
