import type { TrueTimeEstimate } from "@auburnarch/clock/TrueTimeEstimate";
import type { BreakRegistry } from "@auburnarch/forwarding/BreakRegistry";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import type { StartMeter } from "@auburnarch/usage/StartMeter";

/** What goes along with questions for changes of the store, and with their answers. */
export interface FeedExtras {
    /** Contents that broke off at samplers. */
    breaks: BreakRegistry;
    trueTime: TrueTimeEstimate;
    /** What this process counts and tells a runner; undefined where it counts nothing. */
    meter: StartMeter | undefined;
    /** What a runner has been told; undefined in a gateway. */
    starts: StartCountRegistry | undefined;
}
