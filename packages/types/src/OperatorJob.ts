import type { JobId } from "./JobId.js";
import type { PolicyId } from "./PolicyId.js";
import type { TeamId } from "./TeamId.js";

/** A job in the answer of `GET /operator/jobs`. */
export interface OperatorJob {
    job: JobId;
    team: TeamId;
    policy: PolicyId;
    /** Name of the owning entry; undefined while no entry owns the job. */
    owner: string | undefined;
    fencing: number | undefined;
    /** The open step; undefined if none is open. */
    step: number | undefined;
    /** Number of the step's `groups` that the trainer has acknowledged. */
    groupsDelivered: number;
    groups: number;
    publishedVersion: number | undefined;
    /** Milliseconds until the trainer needs the open step complete; negative once late. */
    needInMs: number | undefined;
}
