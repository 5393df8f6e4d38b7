import type { createDispatcher } from "@auburnarch/dispatch/createDispatcher";
import type { createSwapRoller } from "@auburnarch/weights/createSwapRoller";

/** The parts of an owner that stand on their own, so that tests and measurements can put others in their place. */
export interface OwnerParts {
    createDispatcher: typeof createDispatcher;
    createSwapRoller: typeof createSwapRoller;
}
