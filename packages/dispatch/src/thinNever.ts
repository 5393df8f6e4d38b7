import type { ThinRule } from "./ThinRule.js";

/** Fills every sampler alike. */
export const thinNever: ThinRule = limit => limit;
