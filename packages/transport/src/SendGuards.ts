import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** The checks that a sender's outcomes rest on; each returns true to let something pass. */
export interface SendGuards {
    /** Only the incarnation that an attempt was sent to can vouch that it did not run. */
    sameIncarnation(sentTo: IncarnationId | undefined, answered: IncarnationId): boolean;
    /** Whether the sidecar would still remember an attempt sent this long ago. */
    withinMemory(ageMs: number): boolean;
    /** Whether a request may be sent again after an attempt that may have run. */
    repeatUnknown(idempotent: boolean): boolean;
}
