import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import type { SendUsageReport } from "./SendUsageReport.js";
import type { UsageTimes } from "./UsageTimes.js";

/** What the reports of use need beside what a runner has. */
export interface UsageDeps {
    times: UsageTimes;
    starts: StartCountRegistry;
    send: SendUsageReport;
}
