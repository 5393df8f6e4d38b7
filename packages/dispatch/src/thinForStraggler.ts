import type { ThinRule } from "./ThinRule.js";

const stragglerBatchLimit = 3;

/**
 * Leaves the batch of a straggler that the trainer waits for at three. Each generation in a batch slows the
 * others, and the end of this one is worth more than a few starts of the next step's samples.
 */
export const thinForStraggler: ThinRule = limit => Math.min(limit, stragglerBatchLimit);
