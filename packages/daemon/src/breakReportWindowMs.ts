/** What broke off is told for this long: longer than a question for changes waits, and is put off, together. */
export const breakReportWindowMs = 3_000;
