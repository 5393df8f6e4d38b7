import { reserveForTrial } from "./reserveForTrial.js";
import type { SidecarContext } from "./SidecarContext.js";

interface ReservableWork {
    isTrial?: boolean;
    budgetMs: number;
}

/**
 * Runs work; a trial runs only once nothing else runs here. `run` receives the budget left. Undefined if the sampler
 * did not become idle in time for a trial.
 */
export async function runWithReservation<Result>(
    context: SidecarContext,
    work: ReservableWork,
    signal: AbortSignal,
    run: (budgetMs: number) => Promise<Result>,
): Promise<Result | undefined> {
    if (work.isTrial !== true) {
        // Called synchronously: requests sent together must see each other in the queue, or its limit would not hold.
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
