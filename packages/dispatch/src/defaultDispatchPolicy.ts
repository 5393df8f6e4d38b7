import { pickLeastFinish } from "@auburnarch/pick/pickLeastFinish";
import { orderByStepAndLength } from "@auburnarch/queue/orderByStepAndLength";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import { priorityByNeed } from "./priorityByNeed.js";

/** Our policy. */
export const defaultDispatchPolicy: DispatchPolicy = {
    name: "ours",
    order: orderByStepAndLength,
    pick: pickLeastFinish,
    outstandingLimit: view => Math.max(1, view.report.limit),
    priority: priorityByNeed,
    predictsLength: true,
};
