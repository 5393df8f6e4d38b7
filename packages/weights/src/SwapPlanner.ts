import type { SwapPlan } from "./SwapPlan.js";
import type { SwapPlanInput } from "./SwapPlanInput.js";

/** Selects the samplers that swap weights now; a pure function. */
export type SwapPlanner = (input: SwapPlanInput) => SwapPlan;
