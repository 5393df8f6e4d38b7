import type { StartBook } from "@auburnarch/account/StartBook";
import type { StartMeter } from "@auburnarch/account/StartMeter";
import type { TrueTimeEstimate } from "@auburnarch/clock/TrueTimeEstimate";
import type { BreakMemory } from "@auburnarch/relay/BreakMemory";

/** What goes along with questions for changes of the store, and with their answers. */
export interface FeedExtras {
    /** Contents that broke off at samplers. */
    breaks: BreakMemory;
    trueTime: TrueTimeEstimate;
    /** What this process counts and tells a runner; undefined where it counts nothing. */
    meter: StartMeter | undefined;
    /** What a runner has been told; undefined in a gateway. */
    starts: StartBook | undefined;
}
