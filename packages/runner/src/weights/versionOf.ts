import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { PolicyId } from "@auburnarch/types/PolicyId";

/** The version of a policy that a sampler serves; -1 if it serves none or is unknown. */
export function versionOf(sampler: RegisteredSampler | undefined, policy: PolicyId): number {
    return sampler?.served.find(served => served.policy === policy)?.version ?? -1;
}
