import type { TeamId } from "@auburnarch/types/TeamId";

/** Meters requests of teams. */
export interface RunMeter {
    /**
     * Opens a request; the returned function closes it once, with the monotonic time at which it began to run, or
     * undefined if it did not.
     */
    open(team: TeamId): (startedAtMs: number | undefined) => void;
}
