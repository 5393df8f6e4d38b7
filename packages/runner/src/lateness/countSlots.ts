import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";

/** Number of slots of some samplers together. */
export const countSlots = (samplers: readonly RegisteredSampler[]): number =>
    samplers.reduce((sum, { maxBatch }) => sum + maxBatch, 0);
