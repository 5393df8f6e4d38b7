import type { StragglerLimitRule } from "./StragglerLimitRule.js";

const stragglerBatchLimit = 3;

/**
 * Limits the batch of a straggler that the trainer waits for to three. Each generation in a batch slows the others
 * down, and finishing this one early is worth more than starting a few samples of the next step.
 */
export const limitStragglerBatch: StragglerLimitRule = limit => Math.min(limit, stragglerBatchLimit);
