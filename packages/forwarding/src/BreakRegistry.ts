import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { BreakReport } from "./BreakReport.js";

/** Contents of requests that broke off at samplers, whatever process sent them. */
export interface BreakRegistry {
    /** How long the content must not be sent to any sampler; 0 if it may be sent now. */
    pauseMs(content: ContentDigest): number;
    /** Whether it may be sent to one more sampler for the same caller. */
    mayRetry(content: ContentDigest): boolean;
    /** Whether nothing is remembered, so that no digest is needed. */
    isEmpty(): boolean;
    /** An attempt starts. While a content is on trial, its pause begins anew for all other requests. */
    recordSent(content: ContentDigest): void;
    recordBreak(content: ContentDigest): void;
    /** A sampler ran it to its end and lives: it is not the content that broke off. */
    recordCompletion(content: ContentDigest): void;
    /** What own requests showed in the last `withinMs`, the latest last. */
    listOwn(withinMs: number): BreakReport[];
    /** The same of all processes as far as known. */
    listAll(withinMs: number): BreakReport[];
    /** Takes what another process tells, where it is later than what is known. */
    merge(marks: readonly BreakReport[]): void;
}
