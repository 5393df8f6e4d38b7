/** State of an attempt id in an attempt table; undefined if the table does not know the id. */
export type AttemptStanding = "running" | "finished" | "refused" | "tombstone" | undefined;
