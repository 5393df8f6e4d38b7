import type { TeamId } from "@auburnarch/types/TeamId";
import type { StartReport } from "./StartReport.js";

/** Counts the requests of teams that begin to run. */
export interface StartMeter {
    /**
     * Notes a request that may begin to run from now on. The returned function tells its end, once: when it began, in
     * monotonic time, or undefined if it did not run.
     */
    open(team: TeamId): (startedAtMs: number | undefined) => void;
    report(): StartReport;
}
