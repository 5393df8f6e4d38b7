/**
 * Longest wait of a watch where some seconds more do no harm if a connection falls silent: new runners, and VMs that are
 * to be emptied.
 */
export const slowWaitMs = 10_000;
