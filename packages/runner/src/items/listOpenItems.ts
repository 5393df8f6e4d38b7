import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { createItemRoutes } from "./createItemRoutes.js";
import type { OpenItem } from "./OpenItem.js";

/** Lists the unfinished items of one dispatcher. */
export function listOpenItems(
    dispatcher: Pick<Dispatcher, "listUnfinished">,
    findBatchJob: (task: SampleId) => BatchJob | undefined,
    routes: Pick<ReturnType<typeof createItemRoutes>, "find">,
): OpenItem[] {
    const deadlines = new Map<BatchJob, number | undefined>();
    return dispatcher.listUnfinished().flatMap(({ sample, remainingTokens, sampler }) => {
        const batchJob = findBatchJob(sample);
        if (batchJob === undefined) {
            return [];
        }
        if (!deadlines.has(batchJob)) {
            deadlines.set(batchJob, routes.find(batchJob.host, batchJob.path)?.deadlineMs);
        }
        return [{
            batchJob,
            deadlineMs: deadlines.get(batchJob),
            remainingEvents: remainingTokens,
            sampler: sampler as string | undefined as IncarnationId | undefined,
        }];
    });
}
