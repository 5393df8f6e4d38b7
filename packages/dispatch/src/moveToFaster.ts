import { createMoveRule } from "./createMoveRule.js";

/** Moves a straggler to a faster sampler where that saves a second at least; see `createMoveRule`. */
export const moveToFaster = createMoveRule({
    leastGainRatio: 0.3,
    leastGainMs: 1_000,
    maxMoves: 2,
    prefillSpeedup: 30,
    handOverMs: 100,
});
