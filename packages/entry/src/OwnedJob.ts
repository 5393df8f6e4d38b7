import type { Owner } from "@auburnarch/ownership/Owner";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Lease } from "@auburnarch/types/Lease";

/** A job that this entry owns. */
export interface OwnedJob {
    job: JobManifest;
    lease: Lease;
    owner: Owner;
}
