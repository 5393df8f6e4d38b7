import type { Logger } from "@auburnarch/types/Logger";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { PeerCall } from "./PeerCall.js";
import type { SamplerViews } from "./SamplerViews.js";

const drainTimeoutMs = 2_000;

/** Makes the order that takes a sampler out of work: its sidecar refuses from then on, running work goes on. */
export function createDrainer(
    views: SamplerViews,
    callSidecar: PeerCall,
    logger: Logger,
): (sampler: SamplerId) => Promise<number> {
    return async sampler => {
        const view = views.listAll().find(each => each.report.sampler === sampler);
        if (view === undefined) {
            return 0;
        }
        await callSidecar(view.report.address, "beginLeaving", {}, drainTimeoutMs);
        logger.info("samplerDrained", { sampler, running: view.report.running });
        return view.report.running;
    };
}
