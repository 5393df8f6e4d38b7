import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** What runs at a sampler tell of its health. */
export interface SamplerEvidence {
    noteSent(sampler: IncarnationId): void;
    /** An answer or an event arrived. */
    noteHeard(sampler: IncarnationId): void;
    noteFailed(sampler: IncarnationId): void;
    noteEnded(sampler: IncarnationId): void;
    /** Runs of this process there. */
    running(sampler: IncarnationId): number;
    /** It failed lately, or is silent though runs are there. */
    isSuspected(sampler: IncarnationId): boolean;
}
