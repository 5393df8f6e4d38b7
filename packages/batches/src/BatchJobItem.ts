import type { SampleId } from "@auburnarch/types/SampleId";
import type { RewardCall } from "./RewardCall.js";

/** One item of a batch job: a generation request that is run later. */
export interface BatchJobItem {
    item: SampleId;
    /** Items of one group share their prompt; undefined if the batch job has no groups. */
    group: string | undefined;
    path: string;
    headers: Record<string, string>;
    bodyBase64: string;
    maxOutputTokens: number;
    /** From the client's hint, which is accurate at the median but often far off. */
    expectedOutputTokens: number | undefined;
    reward: RewardCall | undefined;
}
