import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";

/** Number of batch jobs to average over; a single one differs from the next by about a quarter. */
const averagedJobs = 4;

/** Average of a value over a policy's latest batch jobs that state it; undefined if there are none. */
export function averageOfLatest(
    entries: readonly BatchJobEntry[],
    policy: PolicyId,
    valueOf: (entry: BatchJobEntry) => number | undefined,
): number | undefined {
    const values = entries
        .filter(entry => entry.policy === policy && valueOf(entry) !== undefined)
        .sort((a, b) => b.submittedAtMs - a.submittedAtMs)
        .slice(0, averagedJobs)
        .map(entry => valueOf(entry)!);
    return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;
}
