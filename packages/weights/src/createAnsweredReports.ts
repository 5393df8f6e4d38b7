import type { Clock } from "@auburnarch/types/Clock";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";

interface Answered {
    report: SamplerReport;
    atMs: number;
}

/** Reports that came back with orders, until the views have caught up. */
interface AnsweredReports {
    note(report: SamplerReport): void;
    /** The view with the newer of its own and the answered report. */
    freshest(view: SamplerView): SamplerView;
}

/**
 * Makes an empty record. Without it a sampler that has just swapped would be ordered again while its heartbeat
 * is under way, and load the same weights twice.
 */
export function createAnsweredReports(clock: Clock): AnsweredReports {
    const answered = new Map<SamplerId, Answered>();

    /**
     * Whether the answer tells less than the view. An answer of another incarnation than the view's is the newer one
     * if it came after the view's report: a replaced VM answers orders before its first report is here, and without
     * this it would be ordered again and again until then.
     */
    function isOutdated({ report, atMs }: Answered, view: SamplerView): boolean {
        if (report.incarnation === view.report.incarnation) {
            return report.sequence <= view.report.sequence;
        }
        return atMs <= clock.monotonicMs() - view.reportAgeMs;
    }

    return {
        note: report => void answered.set(report.sampler, { report, atMs: clock.monotonicMs() }),
        freshest: view => {
            const answer = answered.get(view.report.sampler);
            if (answer === undefined) {
                return view;
            }
            if (isOutdated(answer, view)) {
                answered.delete(view.report.sampler);
                return view;
            }
            return { ...view, report: answer.report };
        },
    };
}
