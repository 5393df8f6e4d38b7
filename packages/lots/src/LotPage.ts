import type { LotResult } from "./LotResult.js";

/** A part of a batch job's results. */
export interface LotPage {
    /** Items of the job. */
    total: number;
    results: LotResult[];
    /** Position behind the last result of the page. */
    next: number;
}
