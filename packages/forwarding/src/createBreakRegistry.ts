import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { BreakReport } from "./BreakReport.js";

interface BreakRecord {
    breaks: number;
    /** Monotonic time of the last change. */
    atMs: number;
    /** Whether requests of this process caused the record. */
    isOwn: boolean;
    /** Name of the process whose report changed the record last; undefined if this one changed it. */
    reporter: string | undefined;
}

/** One break may be a crash or a lost connection during a harmless request; two in a row likely have one cause. */
const maxBreaksWithRetry = 1;
/** Maximum of recorded contents; the least recently changed one is evicted first. */
const maxRecords = 1_024;
/** Equal to the longest pause. */
const retentionMs = 3_600_000;
/** Maximum of reports in one message, which bounds its size when many samplers stop together. */
const maxReports = 32;

/**
 * Creates the break registry of one process. A request that crashes samplers is sent again to other processes, each of
 * which would try it on as many samplers as its route allows. So the processes exchange their reports and count them
 * together. Each change is written to `logger`.
 */
export function createBreakRegistry(clock: Clock, logger?: Logger): BreakRegistry {
    /** Ordered by their last change, the latest last. */
    const records = new Map<ContentDigest, BreakRecord>();

    function set(content: ContentDigest, record: BreakRecord): void {
        records.delete(content);
        records.set(content, record);
        if (records.size > maxRecords) {
            records.delete(records.keys().next().value!);
        }
    }

    function find(content: ContentDigest): BreakRecord | undefined {
        const record = records.get(content);
        if (record === undefined || clock.monotonicMs() - record.atMs < retentionMs) {
            return record;
        }
        records.delete(content);
        return undefined;
    }

    const breaksOf = (content: ContentDigest): number => find(content)?.breaks ?? 0;

    function recordOwn(content: ContentDigest, breaks: number): void {
        set(content, { breaks, atMs: clock.monotonicMs(), isOwn: true, reporter: undefined });
    }

    function logReport(
        event: string,
        report: BreakReport,
        present: BreakRecord | undefined,
        from: string,
    ): void {
        logger?.info(event, {
            ...report,
            from,
            knownBreaks: present?.breaks ?? 0,
            knownAgeMs: present === undefined ? undefined : Math.round(clock.monotonicMs() - present.atMs),
        });
    }

    function listReports(withinMs: number, isWanted: (record: BreakRecord) => boolean): BreakReport[] {
        const nowMs = clock.monotonicMs();
        return [...records]
            .filter(([, record]) => nowMs - record.atMs <= withinMs && isWanted(record))
            .slice(-maxReports)
            .map(([content, { breaks, atMs }]) => ({ content, breaks, ageMs: Math.round(nowMs - atMs) }));
    }

    function mergeOne(report: BreakReport, from: string): void {
        const { content, breaks, ageMs } = report;
        const atMs = clock.monotonicMs() - ageMs;
        const present = find(content);
        if (present !== undefined && present.atMs >= atMs) {
            if (present.breaks !== breaks) {
                logReport("breakReportIgnored", report, present, from);
            }
            return;
        }
        // Two processes may have counted concurrently; only a completed attempt resets the count.
        const counted = breaks === 0 ? 0 : Math.max(breaks, present?.breaks ?? 0);
        if (counted !== (present?.breaks ?? 0)) {
            logReport("breakReportMerged", report, present, from);
        }
        set(content, { breaks: counted, atMs, isOwn: false, reporter: from });
    }

    return {
        pauseMs: content => {
            const record = find(content);
            return record === undefined
                ? 0
                : Math.max(0, record.atMs + pauseAfterBreaks(record.breaks) - clock.monotonicMs());
        },
        mayRetry: content => breaksOf(content) <= maxBreaksWithRetry,
        isEmpty: () => records.size === 0,
        recordSent: content => {
            const breaks = breaksOf(content);
            if (pauseAfterBreaks(breaks) > 0) {
                recordOwn(content, breaks);
            }
        },
        recordBreak: content => recordOwn(content, breaksOf(content) + 1),
        recordCompletion: content => {
            if (breaksOf(content) > 0) {
                recordOwn(content, 0);
            }
        },
        listOwn: withinMs => listReports(withinMs, record => record.isOwn),
        listAll: withinMs => listReports(withinMs, () => true),
        merge: (reports, from = "") => reports.forEach(report => mergeOne(report, from)),
        describe: content => {
            const record = find(content);
            return {
                content,
                breaks: record?.breaks ?? 0,
                breakAgeMs: record === undefined ? undefined : Math.round(clock.monotonicMs() - record.atMs),
                breakReporter: record?.reporter,
            };
        },
    };
}
