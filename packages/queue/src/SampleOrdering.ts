import type { WaitingSample } from "./WaitingSample.js";

/** Negative if `a` is to be sent before `b`. A total order: never 0 for two different samples. */
export type SampleOrdering = (a: WaitingSample, b: WaitingSample) => number;
