/**
 * How long a sidecar remembers an ended attempt. A sender asks about an attempt only while less than this has
 * passed since it sent it; later a forgotten attempt would look like one that was never seen.
 */
export const attemptRetentionMs = 120_000;
