/** A run of a job, as its runner tells. */
interface ReportedRun {
    name: string;
    runMs: number;
}

/** What a peer says of its run is up to a probe and its answer old. */
const maxReportAgeMs = 600;

/**
 * Whether a runner leaves a job to a peer that runs it too. The one that has run it for clearly longer goes on, since it
 * has made more; of two that began together the first by name. Without that all would go on to the end of the job, and
 * its items take the places of every other several times over. Never do both give way: what a peer tells is never ahead
 * of what it does.
 */
export function yieldsTo(own: ReportedRun, peer: ReportedRun): boolean {
    const leadMs = peer.runMs - own.runMs;
    return leadMs > maxReportAgeMs || leadMs >= -maxReportAgeMs && peer.name < own.name;
}
