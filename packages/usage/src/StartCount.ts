import type { TeamId } from "@auburnarch/types/TeamId";

/** Requests of a team that began to run in one window, counted by one run of a process; the count only grows. */
export interface StartCount {
    /** Number of the window: its start in true time since 1970, divided by its length. */
    window: number;
    team: TeamId;
    requests: number;
}
