import type { JobId } from "@auburnarch/types/JobId";
import type { SampleId } from "@auburnarch/types/SampleId";

/** Identity of a sample; the same for all its attempts. */
export function sampleIdOf(job: JobId, step: number, group: number, index: number): SampleId {
    return `${job}/${step}/${group}/${index}` as SampleId;
}
