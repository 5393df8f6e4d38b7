import type { OwnerStatus } from "@auburnarch/ownership/OwnerStatus";
import type { JobManifest } from "@auburnarch/types/JobManifest";

/** A job of the manifest with what its owner says; `status` is undefined where the owner did not answer. */
export interface JobReport {
    job: JobManifest;
    owner: string | undefined;
    status: OwnerStatus | undefined;
}
