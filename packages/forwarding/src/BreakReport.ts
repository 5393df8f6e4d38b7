import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** What one process tells others of a content. Ages instead of times, because the processes' clocks differ. */
export interface BreakReport {
    content: ContentDigest;
    /** Starts of samplers that broke off an attempt, each named once, whoever saw it. */
    breaks: { sampler: IncarnationId; ageMs: number; }[];
    /** Time since an attempt was last completed, which clears the breaks before it. */
    completedAgeMs?: number | undefined;
}
