import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import type { SwapPlanner } from "@auburnarch/weights/SwapPlanner";

/** All decision rules of one policy in the benchmark. */
export interface BenchPolicy {
    name: string;
    dispatch: DispatchPolicy;
    planSwaps: SwapPlanner;
}
