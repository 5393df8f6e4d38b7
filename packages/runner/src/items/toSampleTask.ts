import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobItem } from "@auburnarch/batches/BatchJobItem";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";

interface TaskDetails {
    /** Unique across batch jobs: an item may be submitted again with a later one. */
    task: SampleId;
    index: number;
    /** Position of the item's group in its batch job. */
    group: number;
    needAtMs: number;
    maxEvents: number;
    resume: TokenSpan[];
}

/**
 * Converts an item to a dispatcher task. The item's id takes the place of its prompt, since each item has its own
 * length.
 */
export function toSampleTask(batchJob: BatchJob, item: BatchJobItem, details: TaskDetails): SampleTask {
    const { task, index, group, needAtMs, maxEvents, resume } = details;
    return {
        sample: task,
        step: batchJob.step,
        group,
        index,
        prompt: task,
        maxTokens: maxEvents,
        seed: 0,
        digest: "" as ContentDigest,
        needAtMs,
        resume,
        minVersion: batchJob.minVersion,
    };
}
