import { correctedLoad } from "@auburnarch/selection/correctedLoad";
import { expectedTokensPerSecond } from "@auburnarch/selection/expectedTokensPerSecond";
import type { MoveRule } from "./MoveRule.js";

interface MoveRuleOptions {
    /** A move has to save at least this share of the remaining time, and at least `minGainMs`. */
    minGainRatio: number;
    minGainMs: number;
    maxMoves: number;
    /** Prefill speed as a multiple of the generation speed. */
    prefillSpeedup: number;
    /** Time for cancelling, sending again and queueing. */
    moveOverheadMs: number;
}

/**
 * Creates the rule that moves an attempt to a faster sampler with room, where it continues from the spans generated
 * so far. Their prefill there costs a small share of generating them; a second, parallel attempt would cost all of it.
 */
export function createMoveRule(options: MoveRuleOptions): MoveRule {
    const { minGainRatio, minGainMs, maxMoves, prefillSpeedup, moveOverheadMs } = options;
    return ({ current, leftTokens, madeTokens, moves }, candidates) => {
        if (current === undefined || moves >= maxMoves) {
            return undefined;
        }
        const currentMs = leftTokens / expectedTokensPerSecond(current, correctedLoad(current)) * 1000;
        let best: typeof current | undefined;
        let bestMs = Math.min(currentMs * (1 - minGainRatio), currentMs - minGainMs);
        for (const candidate of candidates) {
            if (
                candidate.room <= 0 || candidate === current || candidate.aboutToSwap
                || candidate.view.suspected
            ) {
                continue;
            }
            const speed = expectedTokensPerSecond(candidate, correctedLoad(candidate) + 1);
            const candidateMs = moveOverheadMs + (leftTokens + madeTokens / prefillSpeedup) / speed * 1000;
            if (candidateMs < bestMs) {
                best = candidate;
                bestMs = candidateMs;
            }
        }
        return best;
    };
}
