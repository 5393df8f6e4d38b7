import type { Clock } from "@auburnarch/types/Clock";
import type { TeamId } from "@auburnarch/types/TeamId";
import { mergeByMaximum } from "./mergeByMaximum.js";
import type { StartCount } from "./StartCount.js";
import type { StartCountRegistry } from "./StartCountRegistry.js";
import type { StartReport } from "./StartReport.js";

interface Source {
    report: StartReport;
    lastReportAtMs: number;
}

/** Processes report about once a second; a process without a report for this long is not waited for. */
const reportTimeoutMs = 5_000;
/** Reports of an ended process are kept for this long, until the usage of its last windows has been reported. */
const retentionMs = 30_000;
/** Maximum number of process runs; the one whose report is oldest is removed first. */
const maxSources = 512;

const keyOf = ({ window, team }: StartCount): string => `${window} ${team}`;
const maximum = (a: StartCount, b: StartCount): StartCount => (a.requests >= b.requests ? a : b);

/** Creates an empty registry. */
export function createStartCountRegistry(clock: Clock): StartCountRegistry {
    const sources = new Map<string, Source>();

    function dropExpired(): void {
        const nowMs = clock.monotonicMs();
        for (const [source, { lastReportAtMs }] of sources) {
            if (nowMs - lastReportAtMs > retentionMs || sources.size > maxSources) {
                sources.delete(source);
            }
        }
    }

    return {
        merge: report => {
            const known = sources.get(report.source);
            const isNewer = known === undefined || report.countedUntilMs > known.report.countedUntilMs;
            const counts = mergeByMaximum(keyOf, maximum, known?.report.counts ?? [], report.counts);
            const countedUntilMs = Math.max(report.countedUntilMs, known?.report.countedUntilMs ?? -Infinity);
            const lastReportAtMs = isNewer ? clock.monotonicMs() : known.lastReportAtMs;
            sources.delete(report.source);
            sources.set(report.source, { report: { ...report, countedUntilMs, counts }, lastReportAtMs });
            dropExpired();
        },
        reports: () => {
            dropExpired();
            return [...sources.values()].map(({ report }) => report);
        },
        countsOf: window => {
            const totals = new Map<TeamId, number>();
            for (const { report } of sources.values()) {
                for (const count of report.counts) {
                    if (count.window === window) {
                        totals.set(count.team, (totals.get(count.team) ?? 0) + count.requests);
                    }
                }
            }
            return totals;
        },
        isCountedUntil: trueMs => {
            const nowMs = clock.monotonicMs();
            const liveSources = [...sources.values()].filter(({ lastReportAtMs }) =>
                nowMs - lastReportAtMs < reportTimeoutMs
            );
            return liveSources.length > 0
                && liveSources.every(({ report }) => report.countedUntilMs >= trueMs);
        },
    };
}
