/** A trainer's step is due this long after it was requested. */
export const stepDueMs = 7_500;
