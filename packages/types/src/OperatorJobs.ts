import type { OperatorJob } from "./OperatorJob.js";

/** Answer of `GET /operator/jobs`. */
export interface OperatorJobs {
    jobs: OperatorJob[];
}
