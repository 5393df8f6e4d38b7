import { createMoveRule } from "@auburnarch/dispatch/createMoveRule";
import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import { hasMeasurableSpeed } from "@auburnarch/dispatch/hasMeasurableSpeed";
import { holdNever } from "@auburnarch/dispatch/holdNever";
import { priorityFixed } from "@auburnarch/dispatch/priorityFixed";
import { thinNever } from "@auburnarch/dispatch/thinNever";
import { orderByStepAndLength } from "@auburnarch/queue/orderByStepAndLength";
import { pickEarliestFinish } from "@auburnarch/selection/pickEarliestFinish";
import { countFreeSlots } from "./countFreeSlots.js";
import { createHintedLengthModel } from "./createHintedLengthModel.js";

/** A move costs the prompt read anew and a hand-over; a run near its end is done before the move shows. */
const moveRule = createMoveRule({
    minGainRatio: 0.3,
    minGainMs: 300,
    maxMoves: 4,
    prefillSpeedup: 30,
    moveOverheadMs: 60,
});

/**
 * How the items of batch jobs are placed: the oldest step's longest items first, since a step waits for its longest;
 * on the sampler where they are expected to end first; and on to a faster one if theirs turns slow.
 */
export function createItemPolicy(hintOf: (item: string) => number | undefined): DispatchPolicy {
    return {
        name: "items",
        order: orderByStepAndLength,
        pick: pickEarliestFinish,
        hold: holdNever,
        room: countFreeSlots,
        thin: thinNever,
        movable: hasMeasurableSpeed,
        move: moveRule,
        priority: priorityFixed,
        createLengthModel: () => createHintedLengthModel(hintOf),
    };
}
