import { correctedLoad } from "@auburnarch/pick/correctedLoad";
import { expectedTokensPerSecond } from "@auburnarch/pick/expectedTokensPerSecond";
import type { MoveRule } from "./MoveRule.js";

interface MoveRuleOptions {
    /** A move pays if it saves this part of the time left, and this much. */
    leastGainRatio: number;
    leastGainMs: number;
    maxMoves: number;
    /** Tokens are read again this many times faster than they are generated. */
    prefillSpeedup: number;
    /** For cancelling, sending and queueing again. */
    handOverMs: number;
}

/**
 * Makes the rule that moves an attempt to a faster sampler with a free place, behind what it has made. Its tokens are
 * read again there, which costs a small part of making them; a second attempt beside the first would cost all of it.
 */
export function createMoveRule(options: MoveRuleOptions): MoveRule {
    const { leastGainRatio, leastGainMs, maxMoves, prefillSpeedup, handOverMs } = options;
    return ({ here, leftTokens, madeTokens, moves }, candidates) => {
        if (here === undefined || moves >= maxMoves) {
            return undefined;
        }
        const hereMs = leftTokens / expectedTokensPerSecond(here, correctedLoad(here)) * 1000;
        let best: typeof here | undefined;
        let bestMs = Math.min(hereMs * (1 - leastGainRatio), hereMs - leastGainMs);
        for (const candidate of candidates) {
            if (
                candidate.room <= 0 || candidate === here || candidate.aboutToSwap || candidate.view.suspected
            ) {
                continue;
            }
            const speed = expectedTokensPerSecond(candidate, correctedLoad(candidate) + 1);
            const thereMs = handOverMs + (leftTokens + madeTokens / prefillSpeedup) / speed * 1000;
            if (thereMs < bestMs) {
                best = candidate;
                bestMs = thereMs;
            }
        }
        return best;
    };
}
