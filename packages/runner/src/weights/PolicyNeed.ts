import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** What is known of a policy when loads are planned. */
export interface PolicyNeed {
    policy: PolicyId;
    /** Newest version named; undefined before the first one. */
    target: WeightVersion | undefined;
    /** Time since that version was named. */
    namedMs: number;
    /** No job of the policy is open. */
    isQuiet: boolean;
    /** Output tokens of one of its jobs; undefined until one that says is known. */
    jobTokens: number | undefined;
    /** Items of one of its jobs; undefined until one is known. */
    jobItems: number | undefined;
}
