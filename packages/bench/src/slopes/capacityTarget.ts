import { rangeCount } from "@auburnarch/admission/rangeCount";
import type { Target } from "./Target.js";

/** The required capacity. "Several hundred writes" per second at the object API are taken as 300. */
export const capacityTarget: Target = {
    entries: 400,
    samplers: 4_100,
    jobs: 10,
    keyRanges: rangeCount,
    changesPerDay: 4_900,
    regions: 2,
    budget: { coreRatio: 0.031, memoryBytes: 128_000_000, bytesPerSecond: 6_000 },
    configMs: 14_000,
    storeWritesPerSecond: 300,
    storeReadsPerSecond: 2_000,
    storeShare: 0.25,
};
