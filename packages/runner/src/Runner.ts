import type { RunnerStatus } from "./peers/RunnerStatus.js";
import type { StatusQuery } from "./peers/StatusQuery.js";
import type { ResultCache } from "./results/ResultCache.js";

/** A process that runs the items of batch jobs. */
export interface Runner {
    status(query: StatusQuery): RunnerStatus;
    /** Results of a job that runs or ran here, from a chunk on, waiting up to `waitMs` for the first. */
    results: ResultCache["answer"];
    /** The runner that follows the store for all that can use it, as this one believes. */
    feeder(avoided?: readonly string[]): string | undefined;
    /** Milliseconds since the latest outage of the store, or 0 while it lasts; undefined if this runner knows of none. */
    sinceOutageMs(): number | undefined;
    /** Hands over its jobs and duties; resolves once what was made is recorded, or the time is up. */
    leave(limitMs: number): Promise<void>;
}
