import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Samplers to order to swap now, and those queued after them. */
export interface SwapPlan {
    orders: { sampler: SamplerId; reason: "noCapacityLost" | "leastWork"; }[];
    /** Samplers that still need a swap, in the order of their turn. */
    waiting: SamplerId[];
}
