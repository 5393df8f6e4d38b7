import type { createPausableProcess } from "@auburnarch/fakes/createPausableProcess";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";

/** A runner of which only the duty of reports is played. */
export interface ReportingProcess {
    name: string;
    paused: ReturnType<typeof createPausableProcess>;
    state: { isPaused: boolean; resumedAtMs: number; stepMs: number; isEnded: boolean; };
    starts: StartCountRegistry;
}
