import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { ReportedSampler } from "./ReportedSampler.js";

/** What the views of samplers are built from. */
export interface SamplerViewsDeps {
    clock: Clock;
    listReports: () => ReportedSampler[];
    /** Connects to the sidecar that made a report. */
    connect: (report: SamplerReport) => SidecarPort;
    /** Evidence of an attempt: whether the sidecar was reached. */
    recordSamplerContact: (sampler: SamplerId, isReachable: boolean) => void;
    /** Wraps a sidecar with what is asked of every attempt. */
    wrapSidecar: (port: SidecarPort) => SidecarPort;
    /** A sample of this content ended cleanly. */
    noteCleanFinish: (digest: ContentDigest) => void;
    /** An attempt of this content broke off at the incarnation that made the report. */
    noteLost: (report: SamplerReport, digest: ContentDigest) => void;
}
