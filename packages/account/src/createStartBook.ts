import type { Clock } from "@auburnarch/types/Clock";
import type { TeamId } from "@auburnarch/types/TeamId";
import { mergeByMaximum } from "./mergeByMaximum.js";
import type { StartBook } from "./StartBook.js";
import type { StartCount } from "./StartCount.js";
import type { StartReport } from "./StartReport.js";

interface Source {
    report: StartReport;
    heardAtMs: number;
}

/** Processes report about every second; one that is silent for longer is not waited for. */
const silentAfterMs = 5_000;
/** A process that ended is told for this long, until its last windows are reported. */
const forgottenAfterMs = 30_000;
/** Starts of processes at most; the one heard of longest ago goes first. */
const maxSources = 512;

const keyOf = ({ window, team }: StartCount): string => `${window} ${team}`;
const larger = (a: StartCount, b: StartCount): StartCount => (a.requests >= b.requests ? a : b);

/** Makes an empty book. */
export function createStartBook(clock: Clock): StartBook {
    const sources = new Map<string, Source>();

    function dropOld(): void {
        const nowMs = clock.monotonicMs();
        for (const [source, { heardAtMs }] of sources) {
            if (nowMs - heardAtMs > forgottenAfterMs || sources.size > maxSources) {
                sources.delete(source);
            }
        }
    }

    return {
        learn: report => {
            const known = sources.get(report.source);
            const isNewer = known === undefined || report.countedUntilMs > known.report.countedUntilMs;
            const counts = mergeByMaximum(keyOf, larger, known?.report.counts ?? [], report.counts);
            const countedUntilMs = Math.max(report.countedUntilMs, known?.report.countedUntilMs ?? -Infinity);
            const heardAtMs = isNewer ? clock.monotonicMs() : known.heardAtMs;
            sources.delete(report.source);
            sources.set(report.source, { report: { ...report, countedUntilMs, counts }, heardAtMs });
            dropOld();
        },
        tell: () => {
            dropOld();
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
            const heard = [...sources.values()].filter(({ heardAtMs }) => nowMs - heardAtMs < silentAfterMs);
            return heard.length > 0 && heard.every(({ report }) => report.countedUntilMs >= trueMs);
        },
    };
}
