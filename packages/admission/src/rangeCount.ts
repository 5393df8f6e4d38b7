/** Number of ranges that keys are divided into; each is owned by one entry at a time through a lease. */
export const rangeCount = 32;
