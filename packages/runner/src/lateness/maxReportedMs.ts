/** Durations in reports to peers are cut to this; no step is open for as long. It bounds the effect of a wrong value. */
export const maxReportedMs = 600_000;
