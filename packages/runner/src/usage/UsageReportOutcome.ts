/**
 * What became of a report: `unknown` may have arrived; `busy` has not and may be sent again; `refused` never will be
 * taken.
 */
export type UsageReportOutcome = "accepted" | "busy" | "unknown" | "refused";
