import type { SampleOrdering } from "./SampleOrdering.js";

/**
 * The sample that must start earliest to be ready when its trainer needs it. Within a step this is the longest
 * first; across steps a long sample of the next step goes before short ones of this step that have time to spare.
 */
export const orderByLatestStart: SampleOrdering = (a, b) =>
    a.latestStartMs - b.latestStartMs || a.arrivalOrder - b.arrivalOrder;
