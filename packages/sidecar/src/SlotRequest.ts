import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A request for a slot. */
export interface SlotRequest {
    team: TeamId;
    /** 0 to 100; 100 is interactive. */
    priority: number;
    /** Engine time that the work is expected to take. */
    costMs: number;
    /** Longest time that the request may wait. */
    budgetMs: number;
    /** Undefined for a plain service. */
    policy: PolicyId | undefined;
    /** Cancels the running work to free its slot; undefined if it must not be cancelled. */
    preempt: (() => void) | undefined;
    /** Withdraws the request while it waits. */
    signal: AbortSignal;
}
