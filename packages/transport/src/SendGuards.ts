import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/**
 * Checks that decide the outcome a sender reports; each returns true to allow something. The fault bench replaces them.
 */
export interface SendGuards {
    /** Only the incarnation that an attempt was sent to can prove that it did not run. */
    sameIncarnation(sentTo: IncarnationId | undefined, answered: IncarnationId): boolean;
    /** Whether the sidecar still has a record of an attempt that was sent this long ago. */
    withinMemory(ageMs: number): boolean;
    /** Whether a request may be retried after an attempt that may have run. */
    repeatUnknown(idempotent: boolean): boolean;
}
