import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import type { SendUsageReport } from "./SendUsageReport.js";
import type { UsageTimes } from "./UsageTimes.js";

/** Additional dependencies of usage reports. */
export interface UsageDeps {
    times: UsageTimes;
    starts: StartCountRegistry;
    send: SendUsageReport;
}
