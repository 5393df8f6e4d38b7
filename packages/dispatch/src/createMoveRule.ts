import { correctedLoad } from "@auburnarch/selection/correctedLoad";
import { expectedTokensPerSecond } from "@auburnarch/selection/expectedTokensPerSecond";
import type { MoveRule } from "./MoveRule.js";

interface MoveRuleOptions {
    /** A move pays if it saves this part of the time left, and this much. */
    minGainRatio: number;
    minGainMs: number;
    maxMoves: number;
    /** Tokens are read again this many times faster than they are generated. */
    prefillSpeedup: number;
    /** For cancelling, sending and queueing again. */
    moveOverheadMs: number;
}

/**
 * Makes the rule that moves an attempt to a faster sampler with a free place, behind what it has made. Its tokens are
 * read again there, which costs a small part of making them; a second attempt beside the first would cost all of it.
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
