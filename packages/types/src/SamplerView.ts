import type { SamplerReport } from "./SamplerReport.js";

/** A sampler as one entry sees it when it decides. */
export interface SamplerView {
    report: SamplerReport;
    /** Age of the report on this entry's monotonic clock. */
    reportAgeMs: number;
    /** Attempts this entry has in flight there, with the tokens it still expects of each. */
    sentAttempts: number;
    sentTokens: number;
    /** Attempts sent since the report was made, which it cannot include. */
    sentSinceReport: number;
    /** Suspected down or ejected: not to be chosen while another is left. */
    suspected: boolean;
}
