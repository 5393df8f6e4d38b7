import type { JobId } from "./JobId.js";
import type { PolicyId } from "./PolicyId.js";
import type { TeamId } from "./TeamId.js";

/** A job in the answer of `GET /operator/jobs`. */
export interface OperatorJob {
    job: JobId;
    team: TeamId;
    policy: PolicyId;
    /** Name of the owning entry; undefined while there is none. */
    owner: string | undefined;
    fencing: number | undefined;
    /** Open step; undefined where none is open. */
    step: number | undefined;
    /** Groups acknowledged by the trainer, of `groups`. */
    groupsDelivered: number;
    groups: number;
    publishedVersion: number | undefined;
    /** Milliseconds until the trainer needs the open step whole; negative once late. */
    needInMs: number | undefined;
}
