/**
 * After this many consecutive broken attempts, the content most likely crashes the samplers that run it. When samplers
 * crash or are disconnected for other reasons, most contents break only once.
 */
const breaksBeforePause = 3;
const firstPauseMs = 1_000;
const pauseGrowthFactor = 10;
const maxPauseMs = 3_600_000;

/**
 * Returns how long a content waits before its next attempt, after `breaks` consecutive attempts that broke without any
 * output. Without the pause, a crash-inducing request takes down each sampler as soon as it has restarted, together
 * with the requests that run beside it. Growing pauses leave such a request few retries and delay a harmless one by
 * only a second.
 */
export function pauseAfterBreaks(breaks: number): number {
    return breaks < breaksBeforePause
        ? 0
        : Math.min(maxPauseMs, firstPauseMs * pauseGrowthFactor ** (breaks - breaksBeforePause));
}
