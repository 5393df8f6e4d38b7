import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** The last report of a sampler, with its age and the failure detector's word on it. */
export interface ReportedSampler {
    report: SamplerReport;
    ageMs: number;
    suspected: boolean;
}
