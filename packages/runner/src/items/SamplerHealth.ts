import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** What runs at a sampler tell of its health. */
export interface SamplerHealth {
    recordRunStarted(sampler: IncarnationId): void;
    /** An answer or an event arrived; `gapMs` is the time since the event before of the same run, if there was one. */
    recordActivity(sampler: IncarnationId, gapMs?: number): void;
    /** Events a second of single runs there lately; undefined before any were seen. */
    eventsPerSecond(sampler: IncarnationId): number | undefined;
    recordFailure(sampler: IncarnationId): void;
    recordRunEnded(sampler: IncarnationId): void;
    /** Runs of this process there. */
    running(sampler: IncarnationId): number;
    /** All runs of this process, by sampler. */
    allRunning(): Record<string, number>;
    /** It failed lately, or is silent though runs are there. */
    isSuspected(sampler: IncarnationId): boolean;
}
