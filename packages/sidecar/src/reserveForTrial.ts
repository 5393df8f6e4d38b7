import type { SidecarContext } from "./SidecarContext.js";

interface Reservation {
    /** Budget left after the wait. */
    budgetMs: number;
    release(): void;
}

/** Reserves the sampler for a trial with a budget of `budgetMs`; undefined if it may not begin here now. */
export async function reserveForTrial(
    context: SidecarContext,
    budgetMs: number,
    signal: AbortSignal,
): Promise<Reservation | undefined> {
    const { clock } = context.deps;
    const receivedAtMs = clock.monotonicMs();
    const release = await context.trialReservation.reserve(budgetMs, signal);
    return release === undefined
        ? undefined
        : { budgetMs: budgetMs - (clock.monotonicMs() - receivedAtMs), release };
}
