import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** What is asked of the slots. */
export interface SlotRequest {
    team: TeamId;
    /** 0 to 100; 100 is interactive. */
    priority: number;
    /** Engine time it is expected to take. */
    costMs: number;
    /** It may wait this long. */
    budgetMs: number;
    /** Undefined for a plain service. */
    policy: PolicyId | undefined;
    /** Cancels the running work to make room; undefined where that is not allowed. */
    preempt: (() => void) | undefined;
    /** Withdraws it while it waits. */
    signal: AbortSignal;
}
