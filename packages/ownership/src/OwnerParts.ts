import type { createDispatcher } from "@auburnarch/dispatch/createDispatcher";
import type { createSwapRoller } from "@auburnarch/weights/createSwapRoller";

/** Factories of an owner's replaceable parts, so that tests and benchmarks can substitute them. */
export interface OwnerParts {
    createDispatcher: typeof createDispatcher;
    createSwapRoller: typeof createSwapRoller;
}
