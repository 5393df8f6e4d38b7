import type { HoldRule } from "./HoldRule.js";

/** Sends as soon as there is a place. */
export const holdNever: HoldRule = () => false;
