import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";

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
export function createAnsweredReports(): AnsweredReports {
    const answered = new Map<SamplerId, SamplerReport>();
    return {
        note: report => void answered.set(report.sampler, report),
        freshest: view => {
            const answer = answered.get(view.report.sampler);
            if (answer === undefined) {
                return view;
            }
            const isOutdated = answer.incarnation !== view.report.incarnation
                || answer.sequence <= view.report.sequence;
            if (isOutdated) {
                answered.delete(view.report.sampler);
                return view;
            }
            return { ...view, report: answer };
        },
    };
}
