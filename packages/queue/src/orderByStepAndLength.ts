import type { SampleOrdering } from "./SampleOrdering.js";

/**
 * Sends samples of the earliest step first, and within a step those with the most expected tokens left. A long sample
 * that starts last ends long after all others, and the trainer waits for it while engines are idle; started first it
 * overlaps with the short ones.
 */
export const orderByStepAndLength: SampleOrdering = (a, b) =>
    a.task.step - b.task.step
    || b.expectedTokens - a.expectedTokens
    || a.arrivalOrder - b.arrivalOrder;
