import type { SampleId } from "@auburnarch/types/SampleId";
import type { RewardCall } from "./RewardCall.js";

/** One item of a batch job: a request for tokens that is run later. */
export interface LotItem {
    item: SampleId;
    /** Items of one group share their prompt; undefined where the job has no groups. */
    group: string | undefined;
    path: string;
    headers: Record<string, string>;
    bodyBase64: string;
    /** Prompt tokens and the most output tokens, together. */
    maxTokens: number;
    reward: RewardCall | undefined;
}
