import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { BreakReport } from "./BreakReport.js";

/** Contents of requests whose attempts broke off at samplers, regardless of the process that sent them. */
export interface BreakRegistry {
    /** Time for which the content must not be sent to any sampler; 0 if it may be sent now. */
    pauseMs(content: ContentDigest): number;
    /** Whether the content may be sent to another sampler for the same caller. */
    mayRetry(content: ContentDigest): boolean;
    /** Whether no content is recorded, so that no digest has to be computed. */
    isEmpty(): boolean;
    /** Records the start of an attempt. If the content has a pause, the pause restarts for all other requests. */
    recordSent(content: ContentDigest): void;
    recordBreak(content: ContentDigest): void;
    /** Records an attempt that completed; the content was not the cause of earlier breaks. */
    recordCompletion(content: ContentDigest): void;
    /** Reports from this process's own requests of the last `withinMs`, the latest last. */
    listOwn(withinMs: number): BreakReport[];
    /** The same, including reports received from other processes. */
    listAll(withinMs: number): BreakReport[];
    /** Merges the reports of another process that are later than what is known here. */
    merge(reports: readonly BreakReport[], from?: string): void;
    /** What is known of a content, for the log. */
    describe(content: ContentDigest): LogFields;
}
