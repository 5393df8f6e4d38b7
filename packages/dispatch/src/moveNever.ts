import type { MoveRule } from "./MoveRule.js";

/** Leaves every attempt where it is. */
export const moveNever: MoveRule = () => undefined;
