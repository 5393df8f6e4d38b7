import type { HoldRule } from "./HoldRule.js";

/** Sends samples as soon as a sampler has room. */
export const holdNever: HoldRule = () => false;
