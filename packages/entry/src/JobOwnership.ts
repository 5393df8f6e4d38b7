import type { JobId } from "@auburnarch/types/JobId";
import type { OwnedJob } from "./OwnedJob.js";

/** The jobs that this entry owns. */
export interface JobOwnership {
    start(): void;
    get(job: JobId): OwnedJob | undefined;
    list(): OwnedJob[];
    /** Stops every owner and gives its lease up, so that another entry takes over at once. */
    release(): Promise<void>;
}
