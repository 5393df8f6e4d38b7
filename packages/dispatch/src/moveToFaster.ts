import { createMoveRule } from "./createMoveRule.js";

/** Moves a straggler to a faster sampler if that saves at least a second; see `createMoveRule`. */
export const moveToFaster = createMoveRule({
    minGainRatio: 0.3,
    minGainMs: 1_000,
    maxMoves: 2,
    prefillSpeedup: 30,
    moveOverheadMs: 100,
});
