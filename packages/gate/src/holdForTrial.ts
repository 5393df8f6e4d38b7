import type { GateContext } from "./GateContext.js";

interface Held {
    /** What the wait has left of the budget. */
    budgetMs: number;
    end(): void;
}

/** Holds the sampler for a trial that has `budgetMs`; undefined if it may not begin here now. */
export async function holdForTrial(
    context: GateContext,
    budgetMs: number,
    signal: AbortSignal,
): Promise<Held | undefined> {
    const { clock } = context.deps;
    const receivedAtMs = clock.monotonicMs();
    const end = await context.trials.begin(budgetMs, signal);
    return end === undefined
        ? undefined
        : { budgetMs: budgetMs - (clock.monotonicMs() - receivedAtMs), end };
}
