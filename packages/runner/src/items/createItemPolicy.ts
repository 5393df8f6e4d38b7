import { createMoveRule } from "@auburnarch/dispatch/createMoveRule";
import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import { hasMeasurableSpeed } from "@auburnarch/dispatch/hasMeasurableSpeed";
import { holdNever } from "@auburnarch/dispatch/holdNever";
import { keepLimit } from "@auburnarch/dispatch/keepLimit";
import { priorityFixed } from "@auburnarch/dispatch/priorityFixed";
import { orderByStepAndLength } from "@auburnarch/queue/orderByStepAndLength";
import { pickEarliestFinish } from "@auburnarch/selection/pickEarliestFinish";
import { countFreeSlots } from "./countFreeSlots.js";
import { createHintedLengthModel } from "./createHintedLengthModel.js";

/** A move costs reading the prompt again and a handover; a run near its end finishes before a move pays off. */
const moveRule = createMoveRule({
    minGainRatio: 0.3,
    minGainMs: 300,
    maxMoves: 4,
    prefillSpeedup: 30,
    moveOverheadMs: 60,
});

/**
 * Dispatch policy for items of batch jobs: the longest items of the oldest step first, since a step waits for its
 * longest item; each on the sampler where it is expected to finish first, and moved to a faster one if its sampler
 * becomes slow.
 */
export function createItemPolicy(hintOf: (item: string) => number | undefined): DispatchPolicy {
    return {
        name: "items",
        order: orderByStepAndLength,
        pick: pickEarliestFinish,
        hold: holdNever,
        room: countFreeSlots,
        stragglerLimit: keepLimit,
        movable: hasMeasurableSpeed,
        move: moveRule,
        priority: priorityFixed,
        createLengthModel: () => createHintedLengthModel(hintOf),
    };
}
