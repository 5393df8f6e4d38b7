import type { Brand } from "./Brand.js";

/** Number of a training step of a job, starting at 0. */
export type StepNumber = Brand<number, "StepNumber">;
