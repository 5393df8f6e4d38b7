import type { SamplerId } from "@auburnarch/types/SamplerId";

/** The sampler chosen for an attempt, with the reason; `none` leaves the sample waiting at the dispatcher. */
export type PickDecision =
    | {
        kind: "picked";
        sampler: SamplerId;
        reason: string;
        candidates: number;
        /** Expected time until the sample is complete; undefined if not estimated. */
        estimatedFinishMs: number | undefined;
    }
    | {
        kind: "none";
        reason: string;
        candidates: number;
        /** The sampler that the sample should wait for; undefined if no sampler has room. */
        sampler?: SamplerId;
    };
