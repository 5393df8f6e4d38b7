import type { Sample } from "./Sample.js";

/** A complete group: contains every index from 0 to group size - 1 exactly once. */
export interface SampleGroup {
    group: number;
    samples: Sample[];
}
