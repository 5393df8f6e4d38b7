import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { SidecarGuards } from "./SidecarGuards.js";
import type { Slots } from "./Slots.js";
import type { TrialReservation } from "./TrialReservation.js";

interface TrialReservationDeps {
    clock: Clock;
    logger: Logger;
    guards: Pick<SidecarGuards, "trialAlone">;
    slots: Slots;
}

/**
 * Running work may end by itself for this long; then rollouts are cancelled, and resume elsewhere with the tokens
 * generated so far.
 */
const preemptAfterMs = 5_000;
const preemptAfterBudgetShare = 0.25;
/** After this, work that may not be cancelled keeps the sampler; the trial is refused and attempted at another. */
const abandonAfterMs = 30_000;
const abandonAfterBudgetShare = 0.5;

/**
 * Creates the trial reservation of one sampler. A trial that ran beside other work would prove as little as the crashes
 * before it, and a crash-inducing request would take that work down with it.
 */
export function createTrialReservation(
    { clock, logger, guards, slots }: TrialReservationDeps,
): TrialReservation {
    let isReserved = false;

    function release(): void {
        isReserved = false;
        slots.startWaiting();
    }

    function waitUntilIdle(budgetMs: number, signal: AbortSignal): Promise<boolean> {
        const preemptMs = Math.min(preemptAfterMs, preemptAfterBudgetShare * budgetMs);
        const abandonMs = Math.min(abandonAfterMs, abandonAfterBudgetShare * budgetMs);
        return new Promise(resolve => {
            let unsubscribe = (): void => {};
            const finish = (isIdle: boolean): void => {
                cancelPreemptTimer();
                cancelAbandonTimer();
                unsubscribe();
                signal.removeEventListener("abort", abandon);
                resolve(isIdle);
            };
            const abandon = (): void => finish(false);
            const cancelPreemptTimer = clock.startTimer(preemptMs, slots.preemptAll);
            const cancelAbandonTimer = clock.startTimer(abandonMs, abandon);
            signal.addEventListener("abort", abandon, { once: true });
            unsubscribe = slots.onIdle(() => finish(true));
        });
    }

    return {
        isReserved: () => isReserved,
        reserve: async (budgetMs, signal) => {
            if (isReserved || signal.aborted) {
                return undefined;
            }
            isReserved = true;
            slots.refuseWaiting(() => true, resultCodes.overloaded);
            const startedAtMs = clock.monotonicMs();
            const isIdle = guards.trialAlone(slots.running() === 0);
            const isReady = isIdle || await waitUntilIdle(budgetMs, signal);
            const waitedMs = Math.round(clock.monotonicMs() - startedAtMs);
            logger.info("trialHold", { isReady, waitedMs, running: slots.running() });
            if (!isReady) {
                release();
                return undefined;
            }
            return release;
        },
    };
}
