import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { SampleId } from "@auburnarch/types/SampleId";
import { createHash } from "node:crypto";

/** Keys are needed several times a second, and prompts may be long. */
const keysByBatchJob = new WeakMap<BatchJob, Map<SampleId, string>>();

function createKeys({ team, policy, host, items }: BatchJob): Map<SampleId, string> {
    return new Map(items.map(({ item, path, bodyBase64 }) => {
        // Paths may name the batch job. Without a policy, the path decides which weights generate the text.
        const weights = policy === undefined ? { path } : { policy };
        const scope = JSON.stringify([team, host, weights, bodyBase64]);
        return [item, `${createHash("sha256").update(scope).digest("base64url")}/${item}`];
    }));
}

/**
 * Returns the key of an item's text in the text cache. Clients choose the ids of items, so the key also depends on team,
 * host, policy and prompt. It is the same for an item that is submitted again with a later batch job.
 */
export function textKeyOf(batchJob: BatchJob, item: SampleId): string {
    const keys = keysByBatchJob.get(batchJob) ?? createKeys(batchJob);
    keysByBatchJob.set(batchJob, keys);
    return keys.get(item) ?? "";
}
