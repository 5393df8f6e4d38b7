import type { WeightVersion } from "./WeightVersion.js";

/** Consecutive tokens of one sample made by one weight version. */
export interface TokenSpan {
    version: WeightVersion;
    tokens: number;
    text: string;
}
