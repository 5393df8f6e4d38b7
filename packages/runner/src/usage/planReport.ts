import { match, P } from "ts-pattern";
import type { RecordedReport } from "./RecordedReport.js";
import type { UsageTimes } from "./UsageTimes.js";

interface ReportQuery {
    times: UsageTimes;
    /** True time. */
    nowMs: number;
    /** Recorded reports, in the order of their windows. */
    reports: readonly RecordedReport[];
    /** The first window that this holder answers for where nothing is recorded. */
    firstWindow: number;
    /** Windows that were given up. */
    isAbandoned: (window: number) => boolean;
    /** All processes have counted what began before this moment. */
    isCountedUntil: (trueMs: number) => boolean;
}

/** What is to be done next about the reports. */
type ReportStep =
    | { kind: "wait"; }
    | { kind: "record"; window: number; }
    | { kind: "send"; report: RecordedReport; }
    | { kind: "giveUp"; window: number; };

/** Counts may still come for this long after the end of a window, though all that is known of is counted. */
const settleMs = 400;
/** Processes that do not tell are waited for until this long before a report is due. */
const sendReserveMs = 4_000;
/** Windows that ended this many times `dueMs` ago are neither sent nor told as given up. */
const maxAgeInDueTimes = 3;
/** A report sent later would not arrive in time. */
const sendSlackMs = 200;

/**
 * Chooses the next step, the most urgent window first. A window is recorded once it is counted everywhere, or while
 * there is still time to send it through some failures; what is recorded is sent until it is due.
 */
export function planReport(query: ReportQuery): ReportStep {
    const { times: { windowMs, dueMs }, nowMs, reports } = query;
    const endOf = (window: number): number => (window + 1) * windowMs;
    const recorded = new Map(reports.map(report => [report.window, report]));
    const oldest = Math.floor((nowMs - maxAgeInDueTimes * dueMs) / windowMs);
    const first = Math.max(oldest, reports[0]?.window ?? query.firstWindow);

    function stepFor(window: number): ReportStep {
        const report = recorded.get(window);
        const sinceEndMs = nowMs - endOf(window);
        const isLate = sinceEndMs > dueMs - sendSlackMs;
        const isCounted = sinceEndMs > settleMs && query.isCountedUntil(endOf(window));
        const isUrgent = sinceEndMs > dueMs - sendReserveMs;
        return match({ report, isLate, mayRecord: isCounted || isUrgent })
            .returnType<ReportStep>()
            .with({ report: { isSettled: true } }, () => ({ kind: "wait" }))
            .with({ isLate: true }, () => ({ kind: "giveUp", window }))
            .with({ report: P.nonNullable }, ({ report: found }) => ({ kind: "send", report: found }))
            .with({ mayRecord: true }, () => ({ kind: "record", window }))
            .otherwise(() => ({ kind: "wait" }));
    }

    const last = Math.floor(nowMs / windowMs) - 1;
    for (let window = first; window <= last; window++) {
        const step: ReportStep = query.isAbandoned(window) ? { kind: "wait" } : stepFor(window);
        if (step.kind !== "wait") {
            return step;
        }
    }
    return { kind: "wait" };
}
