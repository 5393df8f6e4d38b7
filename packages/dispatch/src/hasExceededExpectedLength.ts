import type { MovableRule } from "./MovableRule.js";

/** An attempt is considered once it exceeds its expected length by this factor. */
const exceededFactor = 1.5;

/** Selects stragglers by their length. */
export const hasExceededExpectedLength: MovableRule = ({ tokens, expectedTokens }) =>
    tokens > exceededFactor * expectedTokens;
