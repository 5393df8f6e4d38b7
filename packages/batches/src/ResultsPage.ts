import type { ItemResult } from "./ItemResult.js";

/** A page of a batch job's results. */
export interface ResultsPage {
    /** Number of items in the batch job. */
    total: number;
    results: ItemResult[];
    /** Position after the last result of the page. */
    next: number;
}
