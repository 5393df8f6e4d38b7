import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** One event of a run's stream. */
export interface ItemEvent {
    /** Counts from 1 within the item, across all its runs. */
    number: number;
    data: string;
    /** Set if the weights changed with this event. */
    weightVersion: WeightVersion | undefined;
}
