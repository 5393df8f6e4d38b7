import type { Clock } from "@auburnarch/types/Clock";

/** Takes one token; returns false if none is available. */
type TakeToken = () => boolean;

/** Creates a token bucket with the capacity of one second, or at least one token. Without `perSecond` it is unlimited. */
export function createTokenBucket(clock: Clock, perSecond: number | undefined): TakeToken {
    if (perSecond === undefined) {
        return () => true;
    }
    const capacity = Math.max(1, perSecond);
    let tokens = capacity;
    let filledAtMs = clock.monotonicMs();
    return () => {
        const nowMs = clock.monotonicMs();
        tokens = Math.min(capacity, tokens + (nowMs - filledAtMs) * perSecond / 1_000);
        filledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    };
}
