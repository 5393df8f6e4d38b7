import type { JobId } from "@auburnarch/types/JobId";
import type { OwnedJob } from "./OwnedJob.js";

/** The jobs that this entry owns. */
export interface JobOwnership {
    start(): void;
    get(job: JobId): OwnedJob | undefined;
    list(): OwnedJob[];
    /** Stops every owner and releases its lease, so that another entry can take over immediately. */
    release(): Promise<void>;
}
