import type { Logger } from "@auburnarch/types/Logger";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

interface DrainerDeps {
    sidecar: (sampler: SamplerId) => SidecarPort;
    /** Takes a report that came beside the usual ones. */
    takeReport: (report: SamplerReport) => void;
    logger: Logger;
}

/**
 * Makes the order that takes a sampler out of work: its sidecar refuses from then on, running work goes on. Its
 * report is read at once, so that this entry sends nothing there until the next one. Resolves with what runs there.
 */
export function createDrainer(deps: DrainerDeps): (sampler: SamplerId) => Promise<number> {
    return async sampler => {
        const sidecar = deps.sidecar(sampler);
        await sidecar.beginLeaving?.();
        const report = await sidecar.readReport();
        deps.takeReport(report);
        deps.logger.info("samplerDrained", { sampler, running: report.running });
        return report.running;
    };
}
