import type { JobId } from "@auburnarch/types/JobId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** Engine time of a job's samples, as recorded by the job's owner; part of the job's status. */
export interface JobUsage {
    job: JobId;
    team: TeamId;
    /** Engine time of acknowledged samples. */
    deliveredEngineMs: number;
    /** Engine time of samples that the team itself discarded. */
    discardedEngineMs: number;
}
