import type { TeamId } from "@auburnarch/types/TeamId";

/**
 * Whether a caller may access a batch job. A batch job belongs to its team; for callers of other teams it does not
 * exist. A batch job without a team was accepted where callers needed no API key. `caller` is undefined for a call
 * that needed none.
 */
export const mayAccessBatchJob = (jobTeam: TeamId | undefined, caller: TeamId | undefined): boolean =>
    jobTeam === undefined || jobTeam === caller;
