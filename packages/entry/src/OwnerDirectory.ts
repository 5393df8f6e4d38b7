import type { JobId } from "@auburnarch/types/JobId";
import type { Lease } from "@auburnarch/types/Lease";
import type { OwnerDocument } from "@auburnarch/types/OwnerDocument";

/** The last announced owner of each job and key range. */
export interface OwnerDirectory {
    announceJob(job: JobId, lease: Lease): void;
    announceRange(range: number, lease: Lease): void;
    findJob(job: JobId): OwnerDocument | undefined;
    /** Returns the address of the entry that owns a key range. */
    findRange(range: number): string | undefined;
}
