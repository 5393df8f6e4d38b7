/** Bound of a team's queue in the manifest of the runs. */
export const maxQueuedPerTeam = 12;
