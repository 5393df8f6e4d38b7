import type { Candidate } from "./Candidate.js";

/**
 * Estimates the attempts on a sampler now. A report doesn't include attempts sent after it was made; without this
 * correction, a sampler that was idle in its last report gets the whole next burst. The symptom is queues that
 * oscillate between samplers at the interval of the reports.
 */
export function correctedLoad(candidate: Candidate): number {
    const report = candidate.view.report;
    const reported = report.running + report.waiting + candidate.sentSinceReport;
    return Math.max(reported, candidate.outstanding);
}
