/**
 * Longest wait of a watch where some seconds more do no harm if a connection falls silent: new runners, and VMs that are
 * to be emptied. A call in 10 s instead of 3.5 s.
 */
export const slowWaitMs = 10_000;
