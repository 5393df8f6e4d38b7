import type { JobId } from "@auburnarch/types/JobId";

/** Key of a job's lease in the object API. */
export function jobLeaseKey(job: JobId): string {
    return `leases/job/${job}`;
}
