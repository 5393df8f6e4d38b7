import type { JobMeasures } from "./JobMeasures.js";

/** The measures of a job that has not begun. */
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
