import type { ContentDigest } from "@auburnarch/types/ContentDigest";

/** What a process knows of a content that broke off at samplers, as it tells others. */
export interface BreakReport {
    content: ContentDigest;
    /** Attempts that broke off in a row; 0 once it has run to its end. */
    breaks: number;
    /** Milliseconds since the last of them, or since it ran to its end. Ages, since clocks differ. */
    ageMs: number;
}
