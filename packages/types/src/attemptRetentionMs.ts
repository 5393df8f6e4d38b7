/**
 * Time for which a sidecar remembers an ended attempt. A sender queries an attempt only while less than this has passed
 * since it was sent; later, a forgotten attempt would look like one that was never seen.
 */
export const attemptRetentionMs = 120_000;
