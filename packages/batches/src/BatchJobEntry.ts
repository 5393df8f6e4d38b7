import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** What is small about an accepted batch job; runners watch these. */
export interface BatchJobEntry {
    total: number;
    /** Whose job it is; undefined where it was accepted without a key. */
    team: TeamId | undefined;
    /** Wall time of the acceptance. */
    submittedAtMs: number;
    policy: PolicyId | undefined;
    /** Output tokens that its items are expected to make together; undefined where an earlier version accepted it. */
    expectedTokens: number | undefined;
    /** The client has ended it: nothing of it may run any more. */
    isEnded: boolean;
}
