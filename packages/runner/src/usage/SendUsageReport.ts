import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { UsageReport } from "./UsageReport.js";
import type { UsageReportOutcome } from "./UsageReportOutcome.js";

/** Sends a report for the holder of the duty. Never rejects. */
export type SendUsageReport = (
    report: UsageReport,
    sender: { holder: string; fencing: FencingNumber; },
) => Promise<UsageReportOutcome>;
