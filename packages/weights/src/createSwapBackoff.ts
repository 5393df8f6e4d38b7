import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Samplers whose last order failed, each with an exponentially growing pause before the next one. */
interface SwapBackoff {
    recordFailure(sampler: SamplerId): void;
    recordSuccess(sampler: SamplerId): void;
    /** Samplers whose pause has not ended yet. */
    pausedSamplers(): Set<SamplerId>;
}

const firstPauseMs = 200;
const maxPauseMs = 5_000;

/** Creates an empty failure record. Pauses are jittered, so that simultaneous failures are not retried together. */
export function createSwapBackoff(clock: Clock, random: Random): SwapBackoff {
    const failed = new Map<SamplerId, { failures: number; untilMs: number; }>();
    return {
        recordFailure: sampler => {
            const failures = (failed.get(sampler)?.failures ?? 0) + 1;
            const ceilingMs = Math.min(maxPauseMs, firstPauseMs * 2 ** (failures - 1));
            const pauseMs = ceilingMs * (0.5 + random.nextUnit() / 2);
            failed.set(sampler, { failures, untilMs: clock.monotonicMs() + pauseMs });
        },
        recordSuccess: sampler => void failed.delete(sampler),
        pausedSamplers: () => {
            const nowMs = clock.monotonicMs();
            const paused = [...failed].filter(([, failure]) => failure.untilMs > nowMs);
            return new Set(paused.map(([sampler]) => sampler));
        },
    };
}
