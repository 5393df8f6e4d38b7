import type { TrueTimeEstimate } from "@auburnarch/clock/TrueTimeEstimate";
import type { BreakExchange } from "@auburnarch/forwarding/BreakExchange";
import type { BreakRegistry } from "@auburnarch/forwarding/BreakRegistry";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import type { StartMeter } from "@auburnarch/usage/StartMeter";

/** State that is exchanged along with feed queries and their answers. */
export interface FeedExtras {
    /** Contents of requests whose attempts broke off at samplers. */
    breaks: BreakRegistry;
    breakExchange: BreakExchange;
    trueTime: TrueTimeEstimate;
    /** Counts requests that start to run, for reports to runners; undefined if this process counts none. */
    meter: StartMeter | undefined;
    /** Start counts that other processes reported; undefined in a gateway. */
    starts: StartCountRegistry | undefined;
}
