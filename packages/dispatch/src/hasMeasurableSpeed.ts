import type { MovableRule } from "./MovableRule.js";

/** Two gaps between events tell a slow sampler from a late event. */
const minTokens = 3;

/** Attempts that have run for long enough to show how fast their sampler is, whatever their length. */
export const hasMeasurableSpeed: MovableRule = ({ tokens }) => tokens >= minTokens;
