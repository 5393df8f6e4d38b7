import { correctedLoad } from "@auburnarch/pick/correctedLoad";
import { expectedTokensPerSecond } from "@auburnarch/pick/expectedTokensPerSecond";
import type { MoveRule } from "./MoveRule.js";

/** A move pays if it saves this part of the time left, and this much. */
const leastGainRatio = 0.3;
const leastGainMs = 1_000;
const maxMoves = 2;
/** Tokens are read again this many times faster than they are generated. */
const prefillSpeedup = 30;
/** For cancelling, sending and queueing again. */
const handOverMs = 100;

/**
 * Moves a straggler to a faster sampler with a free place, behind what it has made. Its tokens are read again
 * there, which costs a thirtieth of making them. A second attempt beside the first one would cost all of it.
 */
export const moveToFaster: MoveRule = ({ here, leftTokens, madeTokens, moves }, candidates) => {
    if (here === undefined || moves >= maxMoves) {
        return undefined;
    }
    const hereMs = leftTokens / expectedTokensPerSecond(here, correctedLoad(here)) * 1000;
    let best: typeof here | undefined;
    let bestMs = Math.min(hereMs * (1 - leastGainRatio), hereMs - leastGainMs);
    for (const candidate of candidates) {
        if (candidate.room <= 0 || candidate === here || candidate.aboutToSwap || candidate.view.suspected) {
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
