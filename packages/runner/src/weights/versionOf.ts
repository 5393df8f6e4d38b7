import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { PolicyId } from "@auburnarch/types/PolicyId";

/** The version of a policy that a sampler serves; -1 if it serves none or is unknown. */
export function versionOf(sampler: KnownSampler | undefined, policy: PolicyId): number {
    return sampler?.served.find(served => served.policy === policy)?.version ?? -1;
}
