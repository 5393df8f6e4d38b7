import type { SampleOrdering } from "./SampleOrdering.js";

/**
 * The step needed first, then the longest expected rest first. A long sample started last ends long after all
 * others, and the trainer waits for it with idle engines; started first it overlaps with the short ones.
 */
export const orderByStepAndLength: SampleOrdering = (a, b) =>
    a.task.step - b.task.step
    || b.expectedTokens - a.expectedTokens
    || a.arrivalOrder - b.arrivalOrder;
