/**
 * After so many attempts in a row that broke off, a content most likely kills what runs it. Where samplers crash or are
 * cut off for other reasons most contents break off once.
 */
const breaksBeforePause = 3;
const firstPauseMs = 1_000;
const pauseGrowthFactor = 10;
const maxPauseMs = 3_600_000;

/**
 * How long a content waits before its next attempt, after so many in a row that broke off with nothing made. Without it
 * a content that kills samplers takes down each one as soon as it is back, with what runs beside it. Pauses that grow
 * leave it few retries, and cost one that is harmless a second.
 */
export function pauseAfterBreaks(breaks: number): number {
    return breaks < breaksBeforePause
        ? 0
        : Math.min(maxPauseMs, firstPauseMs * pauseGrowthFactor ** (breaks - breaksBeforePause));
}
