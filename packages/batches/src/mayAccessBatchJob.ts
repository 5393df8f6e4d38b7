import type { TeamId } from "@auburnarch/types/TeamId";

/**
 * A job is its team's: calls of other teams are told that there is none. A job without one was accepted where callers
 * needed no key. `caller` is undefined for a call that needed none.
 */
export const mayAccessBatchJob = (jobTeam: TeamId | undefined, caller: TeamId | undefined): boolean =>
    jobTeam === undefined || jobTeam === caller;
