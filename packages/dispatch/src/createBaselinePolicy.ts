import { orderByArrival } from "@auburnarch/queue/orderByArrival";
import type { SamplerPicker } from "@auburnarch/selection/SamplerPicker";
import { createMaxLengthModel } from "./createMaxLengthModel.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import { hasExceededExpectedLength } from "./hasExceededExpectedLength.js";
import { holdNever } from "./holdNever.js";
import { keepLimit } from "./keepLimit.js";
import { moveNever } from "./moveNever.js";
import { priorityFixed } from "./priorityFixed.js";
import { roomUnbounded } from "./roomUnbounded.js";

/** Creates a baseline for comparison: first come, first served, sent at once to the sampler that `pick` chooses. */
export function createBaselinePolicy(name: string, pick: SamplerPicker): DispatchPolicy {
    return {
        name,
        order: orderByArrival,
        pick,
        hold: holdNever,
        room: roomUnbounded,
        stragglerLimit: keepLimit,
        movable: hasExceededExpectedLength,
        move: moveNever,
        priority: priorityFixed,
        createLengthModel: createMaxLengthModel,
    };
}
