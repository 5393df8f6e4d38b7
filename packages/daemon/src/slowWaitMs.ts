/**
 * Longest wait of a watch on kinds for which a delay of some seconds after a silent connection failure is harmless: new
 * runners, and the retirement of VMs.
 */
export const slowWaitMs = 10_000;
