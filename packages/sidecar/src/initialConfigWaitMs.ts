/**
 * Longest time for which a sidecar that has just started refuses work while it has received no configuration from an
 * entry.
 */
export const initialConfigWaitMs = 2_000;
