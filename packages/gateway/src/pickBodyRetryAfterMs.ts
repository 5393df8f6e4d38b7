import type { Random } from "@auburnarch/types/Random";

/** Plain requests and batch jobs usually free their bodies within this time. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 400;
/** Callers do not honour a longer Retry-After. */
const maxShareOfLeft = 1 / 3;

/**
 * Picks Retry-After for a request whose body did not fit, so that refused callers return at different times. `leftMs` is
 * the time that the caller has left.
 */
export function pickBodyRetryAfterMs(random: Random, leftMs: number | undefined): number {
    const delayMs = minRetryAfterMs + random.nextUnit() * (maxRetryAfterMs - minRetryAfterMs);
    const maxDelayMs = leftMs === undefined ? maxRetryAfterMs : leftMs * maxShareOfLeft;
    return Math.floor(Math.min(delayMs, maxDelayMs * (1 + random.nextUnit()) / 2));
}
