import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import type { SwapPlanner } from "@auburnarch/weights/SwapPlanner";

/** Everything that one policy of the bench decides with. */
export interface BenchPolicy {
    name: string;
    dispatch: DispatchPolicy;
    planSwaps: SwapPlanner;
}
