import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";

/** Returns the entry of a batch job that its client has ended; undefined for an open or unknown one. */
export function findEndedEntry(
    entries: Pick<WatchedKind<BatchJobEntry>, "objects">,
    batchJobId: BatchJobId,
): BatchJobEntry | undefined {
    const entry = entries.objects()?.get(batchJobId);
    return entry?.isEnded === true ? entry : undefined;
}
