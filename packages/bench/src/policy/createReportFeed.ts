import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { Scenario } from "./Scenario.js";

/** The reports of one sampler as they reach the entries: delayed, and with some of them lost. */
interface ReportFeed {
    /** Undefined until the first report has arrived. */
    view(): SamplerView | undefined;
    stop(): void;
}

/** Consecutive missed reports after which a sampler is suspected. */
const missedReportsUntilSuspected = 4;

/** Starts the report feed of a sidecar; `isSilent` is true while the VM sends nothing. */
export function createReportFeed(
    sidecar: Sidecar,
    clock: Clock,
    random: Random,
    reports: Scenario["reports"],
    isSilent: () => boolean,
): ReportFeed {
    let latest: SamplerReport | undefined;
    let reportedAtMs = 0;
    let cancelNext = (): void => {};

    function send(): void {
        if (isSilent() || random.nextUnit() < reports.lossRatio) {
            return;
        }
        const report = sidecar.report();
        const sentAtMs = clock.monotonicMs();
        clock.startTimer(reports.lagMs, () => {
            latest = report;
            reportedAtMs = sentAtMs;
        });
    }

    function sendPeriodically(): void {
        send();
        cancelNext = clock.startTimer(reports.intervalMs, sendPeriodically);
    }

    cancelNext = clock.startTimer(random.nextUnit() * reports.intervalMs, sendPeriodically);
    const suspectedAfterMs = missedReportsUntilSuspected * reports.intervalMs + reports.lagMs;
    return {
        view: () => {
            if (latest === undefined) {
                return undefined;
            }
            const reportAgeMs = clock.monotonicMs() - reportedAtMs;
            return {
                report: latest,
                reportAgeMs,
                sentAttempts: 0,
                sentTokens: 0,
                sentSinceReport: 0,
                suspected: reportAgeMs > suspectedAfterMs,
            };
        },
        stop: () => cancelNext(),
    };
}
