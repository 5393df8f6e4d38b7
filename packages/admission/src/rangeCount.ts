/** Ranges into which keys are divided; each is owned by one entry at a time through a lease. */
export const rangeCount = 32;
