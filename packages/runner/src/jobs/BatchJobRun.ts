import type { SampleId } from "@auburnarch/types/SampleId";
import type { OpenText } from "../copies/OpenText.js";

/** One batch job while this runner runs it. */
export interface BatchJobRun {
    /** Every item is recorded. */
    isComplete(): boolean;
    /** Saves unfinished texts if the text cache outlives the process. */
    saveTexts(): void;
    /** Items without a result. */
    listOpen(): SampleId[];
    /** The text of an item; undefined if it has been closed or is too short to be worth a copy. */
    findText(item: SampleId): OpenText | undefined;
    /** Stops all runs of items; results that are already complete are still recorded if `isHandedOver`. */
    stop(isHandedOver: boolean): Promise<void>;
}
