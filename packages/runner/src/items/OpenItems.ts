import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { OpenText } from "../copies/OpenText.js";

/** The items of one batch job that have no result yet. */
export interface OpenItems {
    /** Starts the items without a result. Returns how many are run, and how many of these resume an earlier text. */
    start(batchJob: BatchJob): { runs: number; resumed: number; };
    /** Closes an item whose result is in the store. */
    close(item: SampleId): void;
    /** Terminates the items whose route in the current configuration has a limit below this age of the batch job. */
    terminateExpired(ageMs: number): void;
    /** Saves the texts generated so far for a later process. */
    saveTexts(): void;
    listOpen(): SampleId[];
    /** The text of an item; undefined if it has been closed or is too short to be worth a copy. */
    findText(item: SampleId): OpenText | undefined;
    /**
     * Stops the runs of open items and caches their texts, since items may be submitted again with a later batch job.
     */
    withdrawAll(): void;
    /** Discards all open items. */
    discardAll(): void;
}
