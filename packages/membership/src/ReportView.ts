import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** Latest report of a sampler at this entry; its state is `leaving` also if the VM list says so. */
export interface ReportView {
    report: SamplerReport;
    ageMs: number;
    suspected: boolean;
}
