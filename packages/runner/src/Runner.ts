import type { RunnerStatus } from "./RunnerStatus.js";

/** A process that runs the items of batch jobs. */
export interface Runner {
    status(): RunnerStatus;
    /** Hands over its jobs and duties; resolves once what was made is recorded, or the time is up. */
    leave(limitMs: number): Promise<void>;
}
