import type { IncarnationId } from "@auburnarch/types/IncarnationId";

interface Baseline {
    currentMs: number;
    previousMs: number;
    periodEndMs: number;
}

/** A sampler that is slow for longer than two periods is slow by itself, which no lower limit can change. */
const periodMs = 5_000;
/** Maximum of samplers; the oldest are evicted first. */
const maxSamplers = 4_096;

/**
 * Creates the record of each sampler's lowest latency in the current and the previous period. Latencies are compared
 * with the sampler's own lowest one, so that a sampler on a slower machine does not count as overloaded.
 */
export function createLatencyBaselines(
    nowMs: () => number,
): (sampler: IncarnationId, tookMs: number) => number {
    const baselines = new Map<IncarnationId, Baseline>();
    return (sampler, tookMs) => {
        const now = nowMs();
        let baseline = baselines.get(sampler);
        if (baseline === undefined || now >= baseline.periodEndMs + periodMs) {
            baseline = { currentMs: tookMs, previousMs: tookMs, periodEndMs: now + periodMs };
            baselines.delete(sampler);
            baselines.set(sampler, baseline);
            if (baselines.size > maxSamplers) {
                baselines.delete(baselines.keys().next().value!);
            }
        }
        else if (now >= baseline.periodEndMs) {
            baseline.previousMs = baseline.currentMs;
            baseline.currentMs = tookMs;
            baseline.periodEndMs += periodMs;
        }
        baseline.currentMs = Math.min(baseline.currentMs, tookMs);
        return Math.min(baseline.currentMs, baseline.previousMs);
    };
}
