import { orderByLatestStart } from "@auburnarch/queue/orderByLatestStart";
import { pickEarliestFinish } from "@auburnarch/selection/pickEarliestFinish";
import { createPromptLengthModel } from "./createPromptLengthModel.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import { hasExceededExpectedLength } from "./hasExceededExpectedLength.js";
import { holdForFreshness } from "./holdForFreshness.js";
import { limitStragglerBatch } from "./limitStragglerBatch.js";
import { moveToFaster } from "./moveToFaster.js";
import { priorityFixed } from "./priorityFixed.js";
import { roomBesideOthers } from "./roomBesideOthers.js";

/** The policy used in production. */
export const defaultDispatchPolicy: DispatchPolicy = {
    name: "ours",
    order: orderByLatestStart,
    pick: pickEarliestFinish,
    hold: holdForFreshness,
    room: roomBesideOthers,
    stragglerLimit: limitStragglerBatch,
    movable: hasExceededExpectedLength,
    move: moveToFaster,
    priority: priorityFixed,
    createLengthModel: createPromptLengthModel,
};
