import type { SwapPlan } from "./SwapPlan.js";
import type { SwapPlanInput } from "./SwapPlanInput.js";

/** Chooses which samplers swap weights now. Pure. */
export type SwapPlanner = (input: SwapPlanInput) => SwapPlan;
