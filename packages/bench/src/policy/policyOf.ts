import type { PolicyId } from "@auburnarch/types/PolicyId";

/** Id of the policy that a job of a scenario trains. */
export function policyOf(job: string): PolicyId {
    return `policy-${job}` as PolicyId;
}
