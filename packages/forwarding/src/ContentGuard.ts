import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { LogFields } from "@auburnarch/types/LogFields";

/** The break registry as seen by one request, for that request's content. */
export interface ContentGuard {
    /** Time for which the content must not be sent to any sampler; 0 if it may be sent now. */
    pauseMs(): number;
    /** Whether the content may be sent to another sampler. */
    mayRetry(): boolean;
    recordBreak(sampler: IncarnationId): void;
    recordCompletion(): void;
    /** What is known of the content, for the log; empty while no content is recorded. */
    describe(): LogFields;
}
