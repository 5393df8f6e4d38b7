import type { JobId } from "@auburnarch/types/JobId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** What a job's owner knows of the engine time of its samples; part of its status. */
export interface JobUsage {
    job: JobId;
    team: TeamId;
    /** Engine time of acknowledged samples. */
    deliveredEngineMs: number;
    /** Engine time of samples that the team itself gave up. */
    discardedEngineMs: number;
}
