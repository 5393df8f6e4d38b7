/** Time for which a sidecar that has just started takes no work while no entry has told it what is in force. */
export const initialConfigWaitMs = 2_000;
