import type { createPausableProcess } from "@auburnarch/fakes/createPausableProcess";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";

/** A simulated runner that only performs the duty of usage reports. */
export interface ReportingProcess {
    name: string;
    paused: ReturnType<typeof createPausableProcess>;
    state: { isPaused: boolean; resumedAtMs: number; stepMs: number; isEnded: boolean; };
    starts: StartCountRegistry;
}
