import type { ContentDigest } from "@auburnarch/types/ContentDigest";

/** Report of one process to others on a content whose attempts broke off at samplers. */
export interface BreakReport {
    content: ContentDigest;
    /** Number of consecutive attempts that broke off; 0 once one has completed. */
    breaks: number;
    /** Milliseconds since the last of them, or since the completion. An age, because the processes' clocks differ. */
    ageMs: number;
}
