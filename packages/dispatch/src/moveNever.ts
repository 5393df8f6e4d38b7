import type { MoveRule } from "./MoveRule.js";

/** Leaves every attempt on its sampler. */
export const moveNever: MoveRule = () => undefined;
