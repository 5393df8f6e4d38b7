import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobItem } from "@auburnarch/batches/BatchJobItem";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";

interface TaskDetails {
    /** Unique over jobs: an item may come again in a later one. */
    task: SampleId;
    index: number;
    /** Position of the item's group in its job. */
    group: number;
    needAtMs: number;
    maxEvents: number;
    resume: TokenSpan[];
}

/** An item in the terms of the dispatcher. Its own id stands for its prompt, since its length is its own. */
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
