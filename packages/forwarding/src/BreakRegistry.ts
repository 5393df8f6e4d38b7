import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
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
    /** Number of starts of samplers that broke off the content since an attempt was last completed. */
    countBreaks(content: ContentDigest): number;
    /** Number of breaks that determine the pause: those of one burst count as few. */
    countRounds(content: ContentDigest): number;
    /**
     * Whether the sampler broke off another content shortly before `sentAtMs`, and after `answeredAtMs`, the time of its
     * latest answer here: what was sent then, a sampler that had already ended did not run.
     */
    hadEnded(content: ContentDigest, sampler: IncarnationId, sentAtMs: number, answeredAtMs: number): boolean;
    /** Records that an attempt broke off at this start of a sampler, `ageMs` ago; further ones there add nothing. */
    recordBreak(content: ContentDigest, sampler: IncarnationId, ageMs?: number): void;
    /** Records an attempt that completed; the content was not the cause of earlier breaks. */
    recordCompletion(content: ContentDigest): void;
    /** Digest of the breaks that count; empty while there are none. */
    digest(): string;
    /** Reports for another process, bounded in number; later calls list other records if there are more. */
    listReports(): BreakReport[];
    /** The report on one content; undefined if nothing is known of it. */
    reportOf(content: ContentDigest): BreakReport | undefined;
    /** Merges the reports of another process, so that both know what either knew. */
    merge(reports: readonly BreakReport[], from: string): void;
    /** What is known of a content, for the log. */
    describe(content: ContentDigest): LogFields;
}
