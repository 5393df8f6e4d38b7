import type { Clock } from "@auburnarch/types/Clock";

/** Takes one token if there is one; true if it was there. */
type TakeToken = () => boolean;

/** A token bucket that fills at `perSecond` and holds one second's worth. Undefined never refuses. */
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
