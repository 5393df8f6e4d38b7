import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { LogFields } from "@auburnarch/types/LogFields";

/** The break registry as seen by one request, for that request's content. */
export interface ContentGuard {
    /**
     * Requests the permission to send the content, for an attempt of up to `limitMs`. Resolves with the time after which
     * to ask again, or 0 if it may be sent now.
     */
    admit(limitMs: number): Promise<number> | number;
    /** Whether the content may be sent to another sampler. */
    mayRetry(): boolean;
    /** Records that an attempt was sent; until more is recorded, a sampler may have run the content. */
    recordSent(): void;
    /** Records that a sampler answered without having run the content, or could not be reached. */
    recordNotRun(): void;
    /** Whether the sampler had ended under another content before the attempt was sent. */
    hadEnded(sampler: IncarnationId, sentAtMs: number, answeredAtMs: number): boolean;
    /** Records that an attempt broke off, `ageMs` ago. */
    recordBreak(sampler: IncarnationId, ageMs?: number): void;
    recordCompletion(): void;
    /** Ends the permission. */
    close(): void;
    /** What is known of the content, for the log; empty while no content is recorded. */
    describe(): LogFields;
}
