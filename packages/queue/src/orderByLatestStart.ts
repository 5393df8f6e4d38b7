import type { SampleOrdering } from "./SampleOrdering.js";

/**
 * Sends the sample first that has to start earliest to be ready when its trainer needs it. Within a step this is the
 * longest one; across steps a long sample of the next step precedes short ones of this step that have time to spare.
 */
export const orderByLatestStart: SampleOrdering = (a, b) =>
    a.latestStartMs - b.latestStartMs || a.arrivalOrder - b.arrivalOrder;
