import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PaceRecord } from "../lateness/PaceRecord.js";
import { recordGap } from "../lateness/recordGap.js";
import type { SamplerHealth } from "./SamplerHealth.js";

interface HealthRecord {
    running: number;
    activeAtMs: number;
    failedAtMs: number;
    gapMs: number | undefined;
    pace: PaceRecord | undefined;
}

/**
 * Weight of a new gap between events; a sampler that becomes slow is detected after three or four events of its runs.
 */
const gapSmoothing = 0.15;
/** A longer pause is a fault and does not indicate the pace after it. */
const maxGapMs = 400;

/**
 * Longer than the gaps between events on slow samplers; a load of weights does not delay events. A sampler whose runs
 * are all silent for longer is assumed to have crashed, seconds before its entry expires.
 */
const maxSilenceMs = 700;
/** A crashed sampler returns after some seconds, under another incarnation. */
const failureMemoryMs = 1_000;
const maxSamplers = 4_096;

/** Creates the health records of one process. */
export function createSamplerHealth(clock: Clock): SamplerHealth {
    const samplers = new Map<IncarnationId, HealthRecord>();

    function recordOf(sampler: IncarnationId): HealthRecord {
        let known = samplers.get(sampler);
        if (known === undefined) {
            known = {
                running: 0,
                activeAtMs: -Infinity,
                failedAtMs: -Infinity,
                gapMs: undefined,
                pace: undefined,
            };
            samplers.set(sampler, known);
            if (samplers.size > maxSamplers) {
                samplers.delete(samplers.keys().next().value!);
            }
        }
        return known;
    }

    function lastingPaceOf(known: HealthRecord | undefined, maxAgeMs: number): number | undefined {
        const pace = known?.pace;
        return pace === undefined || clock.monotonicMs() - pace.atMs > maxAgeMs
            ? undefined
            : pace.events / pace.runMs * 1_000;
    }

    return {
        recordRunStarted: sampler => {
            const known = recordOf(sampler);
            if (known.running === 0) {
                known.activeAtMs = clock.monotonicMs();
            }
            known.running++;
        },
        recordActivity: (sampler, gapMs) => {
            const known = recordOf(sampler);
            known.activeAtMs = clock.monotonicMs();
            if (gapMs !== undefined) {
                const seenMs = Math.min(gapMs, maxGapMs);
                const before = known.gapMs ?? seenMs;
                known.gapMs = before + gapSmoothing * (seenMs - before);
                known.pace = recordGap(known.pace, gapMs, known.activeAtMs);
            }
        },
        eventsPerSecond: sampler => {
            const gapMs = samplers.get(sampler)?.gapMs;
            return gapMs === undefined ? undefined : 1_000 / Math.max(1, gapMs);
        },
        lastingEventsPerSecond: (sampler, maxAgeMs) => lastingPaceOf(samplers.get(sampler), maxAgeMs),
        listLastingPaces: maxAgeMs =>
            [...samplers].flatMap(([sampler, known]) => {
                const pace = lastingPaceOf(known, maxAgeMs);
                return pace === undefined ? [] : [[sampler, pace]];
            }),
        recordFailure: sampler => {
            recordOf(sampler).failedAtMs = clock.monotonicMs();
        },
        recordRunEnded: sampler => {
            recordOf(sampler).running--;
        },
        running: sampler => samplers.get(sampler)?.running ?? 0,
        allRunning: () => {
            const busy = [...samplers].filter(([, known]) => known.running > 0);
            return Object.fromEntries(busy.map(([sampler, known]) => [sampler, known.running]));
        },
        isSuspected: sampler => {
            const known = samplers.get(sampler);
            const nowMs = clock.monotonicMs();
            return known !== undefined
                && (nowMs - known.failedAtMs < failureMemoryMs
                    || (known.running > 0 && nowMs - known.activeAtMs > maxSilenceMs));
        },
    };
}
