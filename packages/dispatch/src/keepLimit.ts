import type { StragglerLimitRule } from "./StragglerLimitRule.js";

/** Leaves the limit of every sampler as it is. */
export const keepLimit: StragglerLimitRule = limit => limit;
