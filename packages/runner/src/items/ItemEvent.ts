import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** One event of a run's stream. */
export interface ItemEvent {
    /** Counts from 1 within the item, across runs. */
    number: number;
    data: string;
    /** Set where the weights changed with this event. */
    weightVersion: WeightVersion | undefined;
}
