import type { TextCopies } from "./copies/TextCopies.js";
import type { RunnerStatus } from "./peers/RunnerStatus.js";
import type { StatusQuery } from "./peers/StatusQuery.js";
import type { ResultCache } from "./results/ResultCache.js";

/** A process that runs the items of batch jobs. */
export interface Runner {
    status(query: StatusQuery): RunnerStatus;
    /** Results of a batch job that runs or ran here, from a chunk on, waiting up to `waitMs` for the first. */
    results: ResultCache["answer"];
    /** Copies of unfinished texts that it holds for other runners; undefined if the setting `textCopies` is 0. */
    copies?: Pick<TextCopies, "storeTexts" | "readTexts">;
    /**
     * The runner that reads changes from the store on behalf of all others and feeds them, as seen by this runner;
     * undefined if there is none.
     */
    feeder(avoided?: readonly string[]): string | undefined;
    /** Milliseconds since the latest outage of the store, or 0 while it lasts; undefined if this runner knows of none. */
    sinceOutageMs(): number | undefined;
    /**
     * Hands over its batch jobs and duties. Resolves once all finished results are recorded, or the time limit is
     * reached.
     */
    leave(limitMs: number): Promise<void>;
}
