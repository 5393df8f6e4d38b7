import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { ReportedSampler } from "./ReportedSampler.js";

/** Dependencies of the sampler views. */
export interface SamplerViewsDeps {
    clock: Clock;
    listReports: () => ReportedSampler[];
    /** Connects to the sidecar that sent a report. */
    connect: (report: SamplerReport) => SidecarPort;
    /** Reports whether an attempt reached the sidecar. */
    recordSamplerContact: (sampler: SamplerId, isReachable: boolean) => void;
    /** Wraps a sidecar with checks that apply to every attempt. */
    wrapSidecar: (port: SidecarPort) => SidecarPort;
    /** A sample with this content completed. */
    recordCleanFinish: (digest: ContentDigest) => void;
    /** An attempt with this content was interrupted at the incarnation that sent the report. */
    recordInterrupted: (report: SamplerReport, digest: ContentDigest) => void;
}
