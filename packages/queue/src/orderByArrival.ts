import type { SampleOrdering } from "./SampleOrdering.js";

/** Baseline ordering: first come, first served. */
export const orderByArrival: SampleOrdering = (a, b) => a.arrivalOrder - b.arrivalOrder;
