import type { TeamId } from "@auburnarch/types/TeamId";

/** Requests of a team that began to run in one window, as one start of a process counted them; it only grows. */
export interface StartCount {
    /** Number of the window: its start since 1970, in true time, divided by its length. */
    window: number;
    team: TeamId;
    requests: number;
}
