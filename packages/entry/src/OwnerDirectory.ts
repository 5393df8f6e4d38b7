import type { JobId } from "@auburnarch/types/JobId";
import type { Lease } from "@auburnarch/types/Lease";
import type { OwnerDocument } from "@auburnarch/types/OwnerDocument";

/** Who owns which job and key range, as last heard. */
export interface OwnerDirectory {
    announceJob(job: JobId, lease: Lease): void;
    announceRange(range: number, lease: Lease): void;
    findJob(job: JobId): OwnerDocument | undefined;
    /** Address of the entry that owns a key range. */
    findRange(range: number): string | undefined;
}
