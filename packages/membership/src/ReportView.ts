import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** The newest report of a sampler, as this entry has it; state `leaving` also where the VM list says so. */
export interface ReportView {
    report: SamplerReport;
    ageMs: number;
    suspected: boolean;
}
