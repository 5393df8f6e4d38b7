import type { Clock } from "@auburnarch/types/Clock";

const periodMs = 1_000;

/** Creates a function that returns true at most `maxPerSecond` times a second. */
export function createRateLimit(clock: Clock, maxPerSecond: number): () => boolean {
    let periodEndMs = -Infinity;
    let taken = 0;
    return () => {
        if (clock.monotonicMs() >= periodEndMs) {
            periodEndMs = clock.monotonicMs() + periodMs;
            taken = 0;
        }
        taken++;
        return taken <= maxPerSecond;
    };
}
