import { servedVersion } from "@auburnarch/selection/servedVersion";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Load orders of unknown outcome, which may still take effect. */
interface UncertainOrders {
    record(sampler: SamplerId, version: WeightVersion, result: SamplerOrderResult): void;
    maskUncertainVersion(view: SamplerView): SamplerView;
}

/**
 * Creates the record for one policy. A sampler's version is uncertain until an order to it is completed or the ordered
 * version is served.
 */
export function createUncertainOrders(policy: PolicyId): UncertainOrders {
    const uncertainVersions = new Map<SamplerId, WeightVersion>();

    function isUncertain(view: SamplerView, version: WeightVersion): boolean {
        return view.report.stampsVersions !== true && version > (servedVersion(view, policy) ?? -1);
    }

    return {
        record: (sampler, version, { kind }) => {
            if (kind === "unknown") {
                uncertainVersions.set(sampler, version);
            }
            if (kind === "done") {
                uncertainVersions.delete(sampler);
            }
        },
        maskUncertainVersion: view => {
            const version = uncertainVersions.get(view.report.sampler);
            return version !== undefined && view.report.state === "ready" && isUncertain(view, version)
                ? { ...view, report: { ...view.report, state: "unknownVersion" } }
                : view;
        },
    };
}
