import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import { createPromptLengthModel } from "@auburnarch/dispatch/createPromptLengthModel";
import { holdNever } from "@auburnarch/dispatch/holdNever";
import { moveToFaster } from "@auburnarch/dispatch/moveToFaster";
import { priorityFixed } from "@auburnarch/dispatch/priorityFixed";
import { roomWithinLimit } from "@auburnarch/dispatch/roomWithinLimit";
import { thinNever } from "@auburnarch/dispatch/thinNever";
import { pickEarliestFinish } from "@auburnarch/pick/pickEarliestFinish";
import { orderByStepAndLength } from "@auburnarch/queue/orderByStepAndLength";

/** How the items of batch jobs are placed. Samplers are shared by agreement on versions, not by queueing at them. */
export const itemPolicy: DispatchPolicy = {
    name: "items",
    order: orderByStepAndLength,
    pick: pickEarliestFinish,
    hold: holdNever,
    room: roomWithinLimit,
    thin: thinNever,
    move: moveToFaster,
    priority: priorityFixed,
    createLengthModel: createPromptLengthModel,
};
