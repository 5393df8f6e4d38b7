import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** Health of samplers, as observed by the runs of this process. */
export interface SamplerHealth {
    recordRunStarted(sampler: IncarnationId): void;
    /**
     * Records a response or an event; `gapMs` is the time since the previous event of the same run, if there was one.
     */
    recordActivity(sampler: IncarnationId, gapMs?: number): void;
    /** Events per second of a single run there lately; undefined before any were observed. */
    eventsPerSecond(sampler: IncarnationId): number | undefined;
    /**
     * Events per second of a single run there over some seconds, which a short pause hardly changes; undefined if no
     * event was observed within `maxAgeMs`.
     */
    lastingEventsPerSecond(sampler: IncarnationId, maxAgeMs: number): number | undefined;
    /** The same for all samplers that were observed within `maxAgeMs`. */
    listLastingPaces(maxAgeMs: number): [sampler: IncarnationId, eventsPerSecond: number][];
    recordFailure(sampler: IncarnationId): void;
    recordRunEnded(sampler: IncarnationId): void;
    /** Number of runs of this process at the sampler. */
    running(sampler: IncarnationId): number;
    /** Number of runs of this process by sampler. */
    allRunning(): Record<string, number>;
    /** Whether it failed recently, or is silent although it has runs. */
    isSuspected(sampler: IncarnationId): boolean;
}
