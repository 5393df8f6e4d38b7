import type { TeamId } from "@auburnarch/types/TeamId";
import type { StartReport } from "./StartReport.js";

/** What all processes have counted, as far as it is known here. */
export interface StartCountRegistry {
    /** Takes a report; late and repeated ones change nothing. */
    learn(report: StartReport): void;
    /** Everything known, for another book. */
    reports(): StartReport[];
    /** Requests of each team that began in a window, over all processes; teams without one are left out. */
    countsOf(window: number): Map<TeamId, number>;
    /** True if each process heard of lately has counted all that began before this moment of true time. */
    isCountedUntil(trueMs: number): boolean;
}
