import type { TeamId } from "@auburnarch/types/TeamId";
import type { StartReport } from "./StartReport.js";

/** Counts of the requests that began to run at each process, as far as this process has received them. */
export interface StartCountRegistry {
    /** Merges a report; late and repeated reports change nothing. */
    merge(report: StartReport): void;
    /** All known reports, for another registry. */
    reports(): StartReport[];
    /** Requests of each team that began in a window, summed over all processes; teams without requests are omitted. */
    countsOf(window: number): Map<TeamId, number>;
    /**
     * True if every process that reported recently has counted all requests that began before this moment of true time.
     */
    isCountedUntil(trueMs: number): boolean;
}
