import type { TeamId } from "@auburnarch/types/TeamId";
import type { StartReport } from "./StartReport.js";

/** Counts the requests of each team that begin to run. */
export interface StartMeter {
    /**
     * Registers a request that may begin to run from now on. The returned function reports its end, with the monotonic
     * time at which it began, or undefined if it did not run. Only its first call counts.
     */
    open(team: TeamId): (startedAtMs: number | undefined) => void;
    report(): StartReport;
}
