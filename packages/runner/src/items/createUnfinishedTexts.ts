import type { BatchJob } from "@auburnarch/batches/BatchJob";
import { countTokens } from "@auburnarch/dispatch/countTokens";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { OpenText } from "../copies/OpenText.js";
import type { BatchJobRunDeps } from "../jobs/BatchJobRunDeps.js";
import { textKeyOf } from "./textKeyOf.js";

/** The texts that a batch job's items have so far. */
interface UnfinishedTexts {
    /**
     * Caches the texts of at least `minEvents` events, so that a later run or process resumes from them; by default
     * those that are worth writing to disk.
     */
    save(batchJob: BatchJob, items: Iterable<SampleId>, minEvents?: number): void;
    /** The text of an item; undefined if it is too short to be worth a copy. */
    find(batchJob: BatchJob, item: SampleId): OpenText | undefined;
}

/** A text that takes less than half a second to generate again is not worth writing to disk or sending. */
const minPersistedEvents = 10;

/** Creates the view of one batch job's texts; `taskOf` returns the dispatcher's id of an item. */
export function createUnfinishedTexts(
    { textCache, dispatcherFor }: Pick<BatchJobRunDeps, "textCache" | "dispatcherFor">,
    taskOf: (item: SampleId) => SampleId,
): UnfinishedTexts {
    return {
        save: (batchJob, items, minEvents = minPersistedEvents) => {
            const dispatcher = dispatcherFor(batchJob);
            for (const item of items) {
                const spans = dispatcher.spansOf(taskOf(item));
                const isShort = countTokens(spans) < minEvents;
                if (
                    !isShort
                    && textCache.find(textKeyOf(batchJob, item), batchJob.minVersion)?.isComplete !== true
                ) {
                    textCache.put(textKeyOf(batchJob, item), { spans, isComplete: false });
                }
            }
        },
        find: (batchJob, item) => {
            const cached = textCache.find(textKeyOf(batchJob, item), batchJob.minVersion);
            if (cached?.isComplete === true) {
                return { item, ...cached };
            }
            const spans = dispatcherFor(batchJob).spansOf(taskOf(item));
            return countTokens(spans) < minPersistedEvents ? undefined : { item, spans, isComplete: false };
        },
    };
}
