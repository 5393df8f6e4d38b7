import { createDispatcher } from "@auburnarch/dispatch/createDispatcher";
import { createSwapRoller } from "@auburnarch/weights/createSwapRoller";
import type { OwnerParts } from "./OwnerParts.js";

/** The parts used in production. */
export const defaultOwnerParts: OwnerParts = { createDispatcher, createSwapRoller };
