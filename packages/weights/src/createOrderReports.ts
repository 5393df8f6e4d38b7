import type { Clock } from "@auburnarch/types/Clock";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";

interface ReceivedReport {
    report: SamplerReport;
    atMs: number;
}

/** Reports returned by orders, kept until the sampler views are at least as recent. */
interface OrderReports {
    record(report: SamplerReport): void;
    /** Returns the view with the newer of its own report and the one returned by an order. */
    withLatestReport(view: SamplerView): SamplerView;
}

/**
 * Creates an empty cache. Without it a sampler that has just swapped would be ordered again before its next report
 * arrives, and load the same weights twice.
 */
export function createOrderReports(clock: Clock): OrderReports {
    const received = new Map<SamplerId, ReceivedReport>();

    /**
     * Whether the received report is older than the view. A report of another incarnation than the view's is the newer
     * one if it was received after the view's report: a replaced VM answers orders before its first regular report
     * arrives, and without this rule it would be ordered again and again until then.
     */
    function isOutdated({ report, atMs }: ReceivedReport, view: SamplerView): boolean {
        if (report.incarnation === view.report.incarnation) {
            return report.sequence <= view.report.sequence;
        }
        return atMs <= clock.monotonicMs() - view.reportAgeMs;
    }

    return {
        record: report => void received.set(report.sampler, { report, atMs: clock.monotonicMs() }),
        withLatestReport: view => {
            const answer = received.get(view.report.sampler);
            if (answer === undefined) {
                return view;
            }
            if (isOutdated(answer, view)) {
                received.delete(view.report.sampler);
                return view;
            }
            return { ...view, report: answer.report };
        },
    };
}
