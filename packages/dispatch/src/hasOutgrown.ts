import type { MovableRule } from "./MovableRule.js";

/** An attempt is looked at once it has outgrown its expected length by this factor. */
const outgrownFactor = 1.5;

/** Attempts that have turned out to be stragglers by their length. */
export const hasOutgrown: MovableRule = ({ tokens, expectedTokens }) =>
    tokens > outgrownFactor * expectedTokens;
