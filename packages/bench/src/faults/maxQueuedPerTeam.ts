/** Queue limit per team in the manifest of the runs. */
export const maxQueuedPerTeam = 12;
