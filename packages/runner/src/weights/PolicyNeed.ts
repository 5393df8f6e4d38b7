import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** State of a policy as input to the planning of loads. */
export interface PolicyNeed {
    policy: PolicyId;
    /** Newest named version; undefined before the first one. */
    target: WeightVersion | undefined;
    /** Time since that version was named. */
    ageMs: number;
    /** No batch job of the policy is open. */
    isIdle: boolean;
    /** Expected output tokens of one of its batch jobs; undefined until a batch job that states them is known. */
    jobTokens: number | undefined;
    /** Number of items of one of its batch jobs; undefined until one is known. */
    jobItems: number | undefined;
    /** How far its trainer is behind schedule; 0 or omitted unless its steps get priority. */
    latenessMs?: number;
}
