import type { BatchJobEntry } from "./BatchJobEntry.js";

/** What those who tell results of a job have to know of it. */
export type BatchJobSummary = Pick<BatchJobEntry, "total" | "team">;
