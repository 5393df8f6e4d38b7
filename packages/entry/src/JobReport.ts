import type { OwnerStatus } from "@auburnarch/ownership/OwnerStatus";
import type { JobManifest } from "@auburnarch/types/JobManifest";

/** A job of the manifest with the status from its owner; `status` is undefined if the owner did not answer. */
export interface JobReport {
    job: JobManifest;
    owner: string | undefined;
    status: OwnerStatus | undefined;
}
