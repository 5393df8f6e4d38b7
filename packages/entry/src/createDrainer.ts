import type { Logger } from "@auburnarch/types/Logger";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

interface DrainerDeps {
    sidecar: (sampler: SamplerId) => SidecarPort;
    /** Accepts a report that was read outside the regular reporting interval. */
    acceptReport: (report: SamplerReport) => void;
    logger: Logger;
}

/**
 * Creates the function that drains a sampler: its sidecar refuses new work, running work continues. The sampler's
 * report is read immediately, so that this entry stops sending to it before the next regular report arrives. Resolves
 * with the number of running requests.
 */
export function createDrainer(deps: DrainerDeps): (sampler: SamplerId) => Promise<number> {
    return async sampler => {
        const sidecar = deps.sidecar(sampler);
        await sidecar.beginLeaving?.();
        const report = await sidecar.readReport();
        deps.acceptReport(report);
        deps.logger.info("samplerDrained", { sampler, running: report.running });
        return report.running;
    };
}
