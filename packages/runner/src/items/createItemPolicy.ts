import { createMoveRule } from "@auburnarch/dispatch/createMoveRule";
import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import { hasShownPace } from "@auburnarch/dispatch/hasShownPace";
import { holdNever } from "@auburnarch/dispatch/holdNever";
import { priorityFixed } from "@auburnarch/dispatch/priorityFixed";
import { thinNever } from "@auburnarch/dispatch/thinNever";
import { pickEarliestFinish } from "@auburnarch/pick/pickEarliestFinish";
import { orderByStepAndLength } from "@auburnarch/queue/orderByStepAndLength";
import { createHintedLengthModel } from "./createHintedLengthModel.js";
import { roomBesidePeers } from "./roomBesidePeers.js";

/**
 * A run moves for 30 % and 300 ms of its time left. Reading a prompt of a thousand tokens and what was made costs 3 to
 * 30 ms, and the hand-over two messages; within 300 ms of the end it is done before the move shows.
 */
const moveRule = createMoveRule({
    leastGainRatio: 0.3,
    leastGainMs: 300,
    maxMoves: 4,
    prefillSpeedup: 30,
    handOverMs: 60,
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
        room: roomBesidePeers,
        thin: thinNever,
        movable: hasShownPace,
        move: moveRule,
        priority: priorityFixed,
        createLengthModel: () => createHintedLengthModel(hintOf),
    };
}
