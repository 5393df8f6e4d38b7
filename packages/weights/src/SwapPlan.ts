import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Samplers to order now and those in turn after them. */
export interface SwapPlan {
    orders: { sampler: SamplerId; reason: "noCapacityLost" | "leastWork"; }[];
    /** Those that still wait for their turn, next one first. */
    waiting: SamplerId[];
}
