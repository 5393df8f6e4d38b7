import type { MovableRule } from "./MovableRule.js";

/** An attempt is looked at once it has outgrown its expected length by this factor. */
const exceededFactor = 1.5;

/** Attempts that have turned out to be stragglers by their length. */
export const hasExceededExpectedLength: MovableRule = ({ tokens, expectedTokens }) =>
    tokens > exceededFactor * expectedTokens;
