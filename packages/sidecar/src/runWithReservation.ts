import { reserveForTrial } from "./reserveForTrial.js";
import type { SidecarContext } from "./SidecarContext.js";

interface ReservableWork {
    isTrial?: boolean;
    budgetMs: number;
}

/**
 * Runs work, and a trial only once nothing else runs here; `run` gets what is left of the budget. Undefined if a trial
 * did not find the sampler idle in time.
 */
export async function runWithReservation<Result>(
    context: SidecarContext,
    work: ReservableWork,
    signal: AbortSignal,
    run: (budgetMs: number) => Promise<Result>,
): Promise<Result | undefined> {
    if (work.isTrial !== true) {
        // At once: what is sent together must find each other in the queue, or its bound would not hold.
        return await run(work.budgetMs);
    }
    const reservation = await reserveForTrial(context, work.budgetMs, signal);
    if (reservation === undefined) {
        return undefined;
    }
    try {
        return await run(reservation.budgetMs);
    }
    finally {
        reservation.release();
    }
}
