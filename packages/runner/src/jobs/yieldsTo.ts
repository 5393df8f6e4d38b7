/** A run of a batch job as its runner reports it. */
interface ReportedRun {
    name: string;
    runMs: number;
}

/** A peer's report of its run is up to one probe interval and one answer old. */
const maxReportAgeMs = 600;

/**
 * Whether a runner leaves a batch job to a peer that runs it too. The run that started clearly earlier continues,
 * since it has made more progress; of two that started together, the first by name. Otherwise both would continue to
 * the end of the batch job, and each item would occupy slots several times. Two runs never yield to each other, since
 * a peer's report is never ahead of its actual run time.
 */
export function yieldsTo(own: ReportedRun, peer: ReportedRun): boolean {
    const leadMs = peer.runMs - own.runMs;
    return leadMs > maxReportAgeMs || leadMs >= -maxReportAgeMs && peer.name < own.name;
}
