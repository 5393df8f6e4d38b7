import type { Clock } from "@auburnarch/types/Clock";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";

interface ReceivedReport {
    report: SamplerReport;
    atMs: number;
}

/** Reports that came back with orders, until the views have caught up. */
interface OrderReports {
    record(report: SamplerReport): void;
    /** The view with the newer of its own and the answered report. */
    withLatestReport(view: SamplerView): SamplerView;
}

/**
 * Makes an empty record. Without it a sampler that has just swapped would be ordered again while its heartbeat
 * is under way, and load the same weights twice.
 */
export function createOrderReports(clock: Clock): OrderReports {
    const received = new Map<SamplerId, ReceivedReport>();

    /**
     * Whether the answer tells less than the view. An answer of another incarnation than the view's is the newer one
     * if it came after the view's report: a replaced VM answers orders before its first report is here, and without
     * this it would be ordered again and again until then.
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
