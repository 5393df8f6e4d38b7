import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { AttemptStatus } from "./AttemptStatus.js";

/** Attempts of one incarnation: running ones, recently ended ones, and tombstones. */
export interface AttemptTable {
    statusOf(attempt: AttemptId): AttemptStatus;
    start(attempt: AttemptId): void;
    /** Ends a started attempt that ran. */
    finish(attempt: AttemptId): void;
    /** Records that the attempt was answered with "not run". */
    refuse(attempt: AttemptId): void;
    /** Answers a sender's query; an attempt that was never seen gets a tombstone. */
    query(attempt: AttemptId): AttemptState["state"];
    running(): number;
    /** Number of ended attempts and tombstones in the table. */
    retainedCount(): number;
}
