import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** Small stored record of an accepted batch job, without its items. Runners watch these records. */
export interface BatchJobEntry {
    total: number;
    /** Team that submitted it; undefined if it was accepted without an API key. */
    team: TeamId | undefined;
    /** Wall-clock time of its acceptance. */
    submittedAtMs: number;
    policy: PolicyId | undefined;
    /**
     * Expected output tokens of all items together; undefined if an earlier version of the gateway accepted the batch
     * job.
     */
    expectedTokens: number | undefined;
    /** The client has ended the batch job: none of its items may run any more. */
    isEnded: boolean;
}
