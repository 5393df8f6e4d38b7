import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ContentTrial } from "./ContentTrial.js";

/** Grants attempts of contents that may crash samplers, to one process at a time. */
export interface ContentTrials {
    /**
     * Requests a trial that ends within `limitMs`. Refused with the time after which to ask again while the content has
     * a pause or another trial is under way. Never rejects.
     */
    take(
        content: ContentDigest,
        limitMs: number,
    ): Promise<{ kind: "granted"; trial: ContentTrial; } | { kind: "paused"; pauseMs: number; }>;
    /** Stores what is known of a content that may crash samplers, unless its record has been seen. */
    storeBreaks(content: ContentDigest): void;
    /**
     * Reads what earlier processes knew from the store, and removes old records. Resolves with the number of records
     * found; rejects if the store does not answer.
     */
    restore(): Promise<number>;
}
