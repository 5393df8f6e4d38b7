import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { GroupNeed } from "./GroupNeed.js";

/**
 * Tracks the complete groups of a batch job against those that its trainer waits for: a number of groups in any
 * selection, and each group for which `isResubmitted` returns true because an earlier batch job contained it. A batch
 * job without such a number is needed in full.
 */
export function createGroupNeed(batchJob: BatchJob, isResubmitted: (group: string) => boolean): GroupNeed {
    const open = new Map<string, Set<SampleId>>();
    const groupOf = new Map<SampleId, string>();
    for (const { item, group = item } of batchJob.items) {
        open.set(group, (open.get(group) ?? new Set()).add(item));
        groupOf.set(item, group);
    }
    const groups = open.size;
    const needed = Math.min(batchJob.neededGroups ?? groups, groups);
    const awaited = new Set([...open.keys()].filter(isResubmitted));

    return {
        markFinished: item => {
            const group = groupOf.get(item);
            const left = group === undefined ? undefined : open.get(group);
            left?.delete(item);
            if (left?.size === 0) {
                open.delete(group!);
                awaited.delete(group!);
            }
        },
        isMet: () => awaited.size === 0 && groups - open.size >= needed,
    };
}
