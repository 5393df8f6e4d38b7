import { match, P } from "ts-pattern";
import type { RecordedReport } from "./RecordedReport.js";
import type { UsageTimes } from "./UsageTimes.js";

interface ReportQuery {
    times: UsageTimes;
    /** Current true time. */
    nowMs: number;
    /** Recorded reports, in the order of their windows. */
    reports: readonly RecordedReport[];
    /** The first window that this holder is responsible for if nothing is recorded. */
    firstWindow: number;
    /** Whether a window was abandoned. */
    isAbandoned: (window: number) => boolean;
    /** Whether all processes have counted the requests that started before this time. */
    isCountedUntil: (trueMs: number) => boolean;
}

/** The next action on the reports. */
type ReportStep =
    | { kind: "wait"; }
    | { kind: "record"; window: number; }
    | { kind: "send"; report: RecordedReport; }
    | { kind: "giveUp"; window: number; };

/**
 * Counts may still arrive within this time after the end of a window, even if all known processes have reported
 * theirs.
 */
const settleMs = 400;
/** Processes that do not report their counts are waited for until this long before a report is due. */
const sendReserveMs = 4_000;
/** Windows that ended more than this multiple of `dueMs` ago are neither sent nor reported as abandoned. */
const maxAgeInDueTimes = 3;
/** A report sent later than this before its due time would arrive too late. */
const sendSlackMs = 200;

/**
 * Chooses the next action, the most urgent window first. A window is recorded once it is counted by all processes, or
 * while enough time is left to send it despite some failures. A recorded report is sent until it is due.
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
