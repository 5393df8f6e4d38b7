import type { MovableRule } from "./MovableRule.js";

/** Two gaps between events distinguish a slow sampler from a single late event. */
const minTokens = 3;

/** Selects attempts that have enough tokens to measure their sampler's speed, whatever their expected length. */
export const hasMeasurableSpeed: MovableRule = ({ tokens }) => tokens >= minTokens;
