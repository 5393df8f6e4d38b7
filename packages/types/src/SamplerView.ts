import type { SamplerReport } from "./SamplerReport.js";

/** A sampler as seen by one entry at the time of a routing decision. */
export interface SamplerView {
    report: SamplerReport;
    /** Age of the report by this entry's monotonic clock. */
    reportAgeMs: number;
    /** Attempts that this entry has in flight there; `sentTokens` is the number of tokens it still expects of them. */
    sentAttempts: number;
    sentTokens: number;
    /** Attempts sent since the report was made, which the report cannot include. */
    sentSinceReport: number;
    /** Suspected to be down, or ejected: not picked while another sampler is available. */
    suspected: boolean;
}
