import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { GateGuards } from "./GateGuards.js";
import type { Slots } from "./Slots.js";
import type { TrialHold } from "./TrialHold.js";

interface TrialHoldDeps {
    clock: Clock;
    logger: Logger;
    guards: Pick<GateGuards, "trialAlone">;
    slots: Slots;
}

/** What runs may end by itself for this long; then rollouts are cancelled, which resume elsewhere with what they made. */
const preemptAfterMs = 5_000;
const preemptAfterPart = 0.25;
/** Work that may not be cancelled keeps its sampler; the trial is given back and tried at another. */
const giveUpAfterMs = 30_000;
const giveUpAfterPart = 0.5;

/**
 * Makes the hold of one sampler. A trial that ran beside other work would tell as little as the deaths before it, and
 * a killer would take that work with it.
 */
export function createTrialHold({ clock, logger, guards, slots }: TrialHoldDeps): TrialHold {
    let isHeld = false;

    function end(): void {
        isHeld = false;
        slots.wake();
    }

    function waitUntilIdle(budgetMs: number, signal: AbortSignal): Promise<boolean> {
        const preemptMs = Math.min(preemptAfterMs, preemptAfterPart * budgetMs);
        const giveUpMs = Math.min(giveUpAfterMs, giveUpAfterPart * budgetMs);
        return new Promise(resolve => {
            let withdraw = (): void => {};
            const finish = (isIdle: boolean): void => {
                cancelPreempt();
                cancelGiveUp();
                withdraw();
                signal.removeEventListener("abort", giveUp);
                resolve(isIdle);
            };
            const giveUp = (): void => finish(false);
            const cancelPreempt = clock.startTimer(preemptMs, slots.preemptAll);
            const cancelGiveUp = clock.startTimer(giveUpMs, giveUp);
            signal.addEventListener("abort", giveUp, { once: true });
            withdraw = slots.onIdle(() => finish(true));
        });
    }

    return {
        isHeld: () => isHeld,
        begin: async (budgetMs, signal) => {
            if (isHeld || signal.aborted) {
                return undefined;
            }
            isHeld = true;
            slots.refuseWaiting(() => true, resultCodes.overloaded);
            const startedAtMs = clock.monotonicMs();
            const isIdle = guards.trialAlone(slots.running() === 0);
            const isReady = isIdle || await waitUntilIdle(budgetMs, signal);
            const waitedMs = Math.round(clock.monotonicMs() - startedAtMs);
            logger.info("trialHold", { isReady, waitedMs, running: slots.running() });
            if (!isReady) {
                end();
                return undefined;
            }
            return end;
        },
    };
}
