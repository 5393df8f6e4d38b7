import type { ItemResult } from "./ItemResult.js";

/** A part of a batch job's results. */
export interface ResultsPage {
    /** Items of the job. */
    total: number;
    results: ItemResult[];
    /** Position behind the last result of the page. */
    next: number;
}
