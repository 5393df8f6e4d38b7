import { createMaxLengthModel } from "@auburnarch/dispatch/createMaxLengthModel";
import { defaultDispatchPolicy } from "@auburnarch/dispatch/defaultDispatchPolicy";
import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import { holdNever } from "@auburnarch/dispatch/holdNever";
import { keepLimit } from "@auburnarch/dispatch/keepLimit";
import { moveNever } from "@auburnarch/dispatch/moveNever";
import { priorityByNeed } from "@auburnarch/dispatch/priorityByNeed";
import { roomUnbounded } from "@auburnarch/dispatch/roomUnbounded";
import { roomWithinLimit } from "@auburnarch/dispatch/roomWithinLimit";
import { orderByArrival } from "@auburnarch/queue/orderByArrival";
import { pickEarliestFinish } from "@auburnarch/selection/pickEarliestFinish";
import { pickLeastFinish } from "@auburnarch/selection/pickLeastFinish";
import { pickTwoChoices } from "@auburnarch/selection/pickTwoChoices";
import type { SamplerPicker } from "@auburnarch/selection/SamplerPicker";
import { planSwaps } from "@auburnarch/weights/planSwaps";
import type { BenchPolicy } from "./BenchPolicy.js";

const pickWithoutHints: SamplerPicker = (candidates, request, random) =>
    pickEarliestFinish(
        candidates.map(candidate => ({ ...candidate, cachedPromptTokens: 0 })),
        request,
        random,
    );

const without = (rule: string, change: Partial<DispatchPolicy>): BenchPolicy => ({
    name: `without ${rule}`,
    dispatch: { ...defaultDispatchPolicy, ...change },
    planSwaps,
});

/** The default policy, and variants of it with one rule disabled each. */
export const ablations: BenchPolicy[] = [
    { name: "ours", dispatch: defaultDispatchPolicy, planSwaps },
    without("order", { order: orderByArrival }),
    without("length", { createLengthModel: createMaxLengthModel }),
    without("finish estimate", { pick: pickTwoChoices }),
    without("late binding", { room: roomUnbounded }),
    without("room beside others", { room: roomWithinLimit }),
    without("waiting for faster", { pick: pickLeastFinish }),
    without("holding for freshness", { hold: holdNever }),
    without("thin batches", { stragglerLimit: keepLimit }),
    without("prefix hints", { pick: pickWithoutHints }),
    without("moves", { move: moveNever }),
    { ...without("", { priority: priorityByNeed }), name: "with need priority" },
];
