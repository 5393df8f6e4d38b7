import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** The last report of a sampler, with its age and the verdict of the failure detector. */
export interface ReportedSampler {
    report: SamplerReport;
    ageMs: number;
    suspected: boolean;
}
