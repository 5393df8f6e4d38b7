import type { WaitingSample } from "./WaitingSample.js";

/** Comparator of waiting samples; negative if `a` is sent before `b`. Total: never 0 for two different samples. */
export type SampleOrdering = (a: WaitingSample, b: WaitingSample) => number;
