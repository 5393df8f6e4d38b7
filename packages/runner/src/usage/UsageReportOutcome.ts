/**
 * Outcome of sending a report: with `unknown` it may have arrived; with `busy` it has not and may be sent again; with
 * `refused` it will never be accepted.
 */
export type UsageReportOutcome = "accepted" | "busy" | "unknown" | "refused";
