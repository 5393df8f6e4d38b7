/** Breaks are reported to other processes for this long; longer than the wait plus the retry delay of a feed query. */
export const breakReportWindowMs = 3_000;
