/** State of an attempt id in an attempt table; undefined if the table does not know the id. */
export type AttemptStatus = "running" | "finished" | "refused" | "tombstone" | undefined;
