import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Returns the version of `policy` that a sampler reports as served; undefined if it serves none. */
export function servedVersion(view: SamplerView, policy: PolicyId): WeightVersion | undefined {
    return view.report.served.find(served => served.policy === policy)?.version;
}
