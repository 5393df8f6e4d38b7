import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Where an attempt goes and why; `none` leaves it waiting at the dispatcher. */
export type PickDecision =
    | {
        kind: "picked";
        sampler: SamplerId;
        reason: string;
        candidates: number;
        /** Milliseconds from now until the sample is expected to be complete; undefined where not estimated. */
        estimatedFinishMs: number | undefined;
    }
    | {
        kind: "none";
        reason: string;
        candidates: number;
        /** The sampler it is worth waiting for; undefined where none has a place. */
        sampler?: SamplerId;
    };
