import type { SampleId } from "@auburnarch/types/SampleId";
import type { RewardCall } from "./RewardCall.js";

/** One item of a batch job: a request for tokens that is run later. */
export interface BatchJobItem {
    item: SampleId;
    /** Items of one group share their prompt; undefined where the job has no groups. */
    group: string | undefined;
    path: string;
    headers: Record<string, string>;
    bodyBase64: string;
    maxOutputTokens: number;
    /** By the client's hint, which is right at the median but often far off. */
    expectedOutputTokens: number | undefined;
    reward: RewardCall | undefined;
}
