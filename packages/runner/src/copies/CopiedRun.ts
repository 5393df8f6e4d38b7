import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { OpenText } from "./OpenText.js";

/** A batch job that runs here, with the texts of its open items. */
export interface CopiedRun {
    lot: BatchJobId;
    listOpen(): SampleId[];
    /** The text of an item; undefined if it has been closed or is too short to be worth a copy. */
    findText(item: SampleId): OpenText | undefined;
}
