/** A trainer's step is due this long after it was asked for. */
export const stepDueMs = 7_500;
