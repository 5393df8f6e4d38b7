import type { Candidate } from "./Candidate.js";

/**
 * Attempts believed to be at a sampler now. A report cannot include what was sent after it was made; without
 * the correction every sampler that looked idle in one report gets the whole burst that follows, which shows
 * as queues that swing from one sampler to the next at the rhythm of the reports.
 */
export function correctedLoad(candidate: Candidate): number {
    const report = candidate.view.report;
    const reported = report.running + report.waiting + candidate.sentSinceReport;
    return Math.max(reported, candidate.outstanding);
}
