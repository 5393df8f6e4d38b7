import { servedVersion } from "@auburnarch/selection/servedVersion";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Orders to load a version that may or may not take effect yet. */
interface OrderDoubts {
    note(sampler: SamplerId, version: WeightVersion, result: SamplerOrderResult): void;
    withDoubt(view: SamplerView): SamplerView;
}

/** Makes the record of one policy. A doubt ends with an order that is carried out, or once its version is served. */
export function createOrderDoubts(policy: PolicyId): OrderDoubts {
    const doubted = new Map<SamplerId, WeightVersion>();

    function isDoubted(view: SamplerView, version: WeightVersion): boolean {
        return view.report.stampsVersions !== true && version > (servedVersion(view, policy) ?? -1);
    }

    return {
        note: (sampler, version, { kind }) => {
            if (kind === "unknown") {
                doubted.set(sampler, version);
            }
            if (kind === "done") {
                doubted.delete(sampler);
            }
        },
        withDoubt: view => {
            const version = doubted.get(view.report.sampler);
            return version !== undefined && view.report.state === "ready" && isDoubted(view, version)
                ? { ...view, report: { ...view.report, state: "unknownVersion" } }
                : view;
        },
    };
}
