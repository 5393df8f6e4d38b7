import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { AttemptStanding } from "./AttemptStanding.js";

/** Attempts of one incarnation: running ones, ended ones for a while, and tombstones. */
export interface AttemptTable {
    standing(attempt: AttemptId): AttemptStanding;
    start(attempt: AttemptId): void;
    /** Ends a started attempt that ran. */
    finish(attempt: AttemptId): void;
    /** Notes that the attempt was told "not run". */
    refuse(attempt: AttemptId): void;
    /** Answers a sender's question; an attempt never seen gets a tombstone. */
    query(attempt: AttemptId): AttemptState["state"];
    running(): number;
    /** Ended attempts and tombstones kept. */
    retainedCount(): number;
}
