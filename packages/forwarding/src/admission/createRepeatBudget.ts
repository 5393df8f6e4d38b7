import type { RepeatBudget } from "./RepeatBudget.js";

/** Sends count with a weight that decreases by this time constant. */
const memoryMs = 10_000;
/** While samplers are full, repeats beyond this share of the first sends delay more requests than they rescue. */
const repeatShare = 0.2;
/** A gateway with few requests can still hedge some of them. */
const minRepeats = 3;

/**
 * Creates the budget of one service. Load addressed: repeats of requests that are late because samplers are full, which
 * make them later still.
 */
export function createRepeatBudget(nowMs: () => number): RepeatBudget {
    let firstSends = 0;
    let repeats = 0;
    let decayedAtMs = nowMs();

    function decay(): void {
        const factor = Math.exp((decayedAtMs - nowMs()) / memoryMs);
        decayedAtMs = nowMs();
        firstSends *= factor;
        repeats *= factor;
    }

    return {
        recordFirstSend: () => {
            decay();
            firstSends++;
        },
        recordRepeat: () => {
            decay();
            repeats++;
        },
        mayRepeat: () => {
            decay();
            return repeats + 1 <= repeatShare * firstSends + minRepeats;
        },
    };
}
