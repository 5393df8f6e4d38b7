import { createBaselinePolicy } from "@auburnarch/dispatch/createBaselinePolicy";
import { createPromptLengthModel } from "@auburnarch/dispatch/createPromptLengthModel";
import { defaultDispatchPolicy } from "@auburnarch/dispatch/defaultDispatchPolicy";
import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import { hasExceededExpectedLength } from "@auburnarch/dispatch/hasExceededExpectedLength";
import { holdNever } from "@auburnarch/dispatch/holdNever";
import { keepLimit } from "@auburnarch/dispatch/keepLimit";
import { moveNever } from "@auburnarch/dispatch/moveNever";
import { priorityByNeed } from "@auburnarch/dispatch/priorityByNeed";
import { roomWithinLimit } from "@auburnarch/dispatch/roomWithinLimit";
import { orderByLatestStart } from "@auburnarch/queue/orderByLatestStart";
import { orderByStepAndLength } from "@auburnarch/queue/orderByStepAndLength";
import { pickLeastFinish } from "@auburnarch/selection/pickLeastFinish";
import { pickLeastReported } from "@auburnarch/selection/pickLeastReported";
import { pickRandom } from "@auburnarch/selection/pickRandom";
import { pickRoundRobin } from "@auburnarch/selection/pickRoundRobin";
import { pickTwoChoices } from "@auburnarch/selection/pickTwoChoices";
import { planSwaps } from "@auburnarch/weights/planSwaps";
import type { BenchPolicy } from "./BenchPolicy.js";

/** Late binding within each sampler's limit; the longest sample of the oldest step goes first. */
const first: DispatchPolicy = {
    name: "ours-1",
    order: orderByStepAndLength,
    pick: pickLeastFinish,
    hold: holdNever,
    room: roomWithinLimit,
    stragglerLimit: keepLimit,
    movable: hasExceededExpectedLength,
    move: moveNever,
    priority: priorityByNeed,
    createLengthModel: createPromptLengthModel,
};

/** The first policy, but ordered by latest start time. */
const second: DispatchPolicy = { ...first, name: "ours-2", order: orderByLatestStart };

/** Waits for faster samplers, leaves room for other jobs and moves stragglers; does not hold samples for freshness. */
const third: DispatchPolicy = {
    ...defaultDispatchPolicy,
    name: "ours-3",
    hold: holdNever,
    stragglerLimit: keepLimit,
    priority: priorityByNeed,
};

/** The policies to compare: the baselines, earlier versions of the default policy, and the default policy. */
export const benchPolicies: BenchPolicy[] = [
    { name: "random", dispatch: createBaselinePolicy("random", pickRandom), planSwaps },
    { name: "roundRobin", dispatch: createBaselinePolicy("roundRobin", pickRoundRobin), planSwaps },
    { name: "leastReported", dispatch: createBaselinePolicy("leastReported", pickLeastReported), planSwaps },
    { name: "twoChoices", dispatch: createBaselinePolicy("twoChoices", pickTwoChoices), planSwaps },
    { name: "ours-1", dispatch: first, planSwaps },
    { name: "ours-2", dispatch: second, planSwaps },
    { name: "ours-3", dispatch: third, planSwaps },
    { name: "ours", dispatch: defaultDispatchPolicy, planSwaps },
];
