import type { BatchJobEntry } from "./BatchJobEntry.js";

/** The fields of a batch job that are needed to serve its results. */
export type BatchJobSummary = Pick<BatchJobEntry, "total" | "team">;
