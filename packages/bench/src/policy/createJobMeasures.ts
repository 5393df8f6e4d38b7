import type { JobMeasures } from "./JobMeasures.js";

/** Creates the measures of a job that has not started. */
export function createJobMeasures(job: string, team: string): JobMeasures {
    return {
        job,
        team,
        idleMs: 0,
        waitedMs: [],
        spanMs: 0,
        stepMs: [],
        stalenessVersions: [],
        stalenessMs: [],
        overBound: 0,
        delivered: 0,
        deliveredTokens: [],
        regenerated: 0,
        isFinished: false,
    };
}
