/** What an attempt table knows of an attempt id; undefined where it knows nothing. */
export type AttemptStanding = "running" | "finished" | "refused" | "tombstone" | undefined;
