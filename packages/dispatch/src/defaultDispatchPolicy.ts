import { pickLeastFinish } from "@auburnarch/pick/pickLeastFinish";
import { orderByLatestStart } from "@auburnarch/queue/orderByLatestStart";
import { createPromptLengthModel } from "./createPromptLengthModel.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import { priorityByNeed } from "./priorityByNeed.js";

/** Our policy. */
export const defaultDispatchPolicy: DispatchPolicy = {
    name: "ours",
    order: orderByLatestStart,
    pick: pickLeastFinish,
    outstandingLimit: view => Math.max(1, view.report.limit),
    priority: priorityByNeed,
    createLengthModel: createPromptLengthModel,
};
