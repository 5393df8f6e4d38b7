import type { Sample } from "./Sample.js";

/** A whole group: every index from 0 to group size - 1 exactly once. */
export interface SampleGroup {
    group: number;
    samples: Sample[];
}
