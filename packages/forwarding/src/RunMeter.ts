import type { TeamId } from "@auburnarch/types/TeamId";

/** Hears of requests of teams that may begin to run. */
export interface RunMeter {
    /** The returned function tells the end, once: when it began to run, in monotonic time, or undefined if it did not. */
    open(team: TeamId): (startedAtMs: number | undefined) => void;
}
