import type { WorkOrder } from "./WorkOrder.js";

/** Baseline: first come, first served. */
export const orderByArrival: WorkOrder = (a, b) => a.arrivalOrder - b.arrivalOrder;
