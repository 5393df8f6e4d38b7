import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { VmId } from "@auburnarch/types/VmId";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { BreakReport } from "./BreakReport.js";
import { countFailedRounds } from "./countFailedRounds.js";
import { createBreakRecords } from "./createBreakRecords.js";
import { digestBreaks } from "./digestBreaks.js";

type Break = QuarantineRecord["deaths"][number];

/** One break may be a crash or a lost connection during a harmless request; two likely have one cause. */
const maxBreaksWithRetry = 1;
/** Maximum of reports in one message, which bounds its size when many samplers stop together. */
const maxReports = 32;
/** Reports of the contents that changed last; the others take turns in the rest of a message. */
const latestReports = 16;

/** The entry of a sampler that has ended is removed within this time; until then requests are sent to it. */
const maxListedAfterEndMs = 5_000;
/** Reported times are inexact by the time that messages take. */
const reportToleranceMs = 50;

/** A sampler has no VM here that outlives its start, so the start names both. */
const createBreak = (sampler: IncarnationId, atMs: number): Break => ({
    vm: sampler as string as VmId,
    bootId: sampler,
    atMs,
});

const latestMsOf = (breaks: Break[]): number => Math.max(...breaks.map(each => each.atMs));

/**
 * Creates the break registry of one process. A request that crashes samplers is sent again to other processes, each of
 * which would try it on as many samplers as its route allows. So the processes tell each other all they know, including
 * what they were told, and what one of them saw outlives it.
 */
export function createBreakRegistry(clock: Clock, logger?: Logger): BreakRegistry {
    const records = createBreakRecords(clock);
    let cachedDigest: ReturnType<typeof digestBreaks> | undefined;
    let nextReport = 0;

    const { breaksOf } = records;
    const countBreaks = (content: ContentDigest): number => breaksOf(content).length;
    const countRounds = (content: ContentDigest): number =>
        countFailedRounds(breaksOf(content).map(each => each.atMs).sort((a, b) => a - b));
    const ageOf = (atMs: number): number => Math.max(0, Math.round(clock.monotonicMs() - atMs));

    function merge(
        content: ContentDigest,
        breaks: Break[],
        completedAtMs: number | undefined,
        from?: string,
    ): boolean {
        const isChanged = records.merge(content, breaks, completedAtMs, from);
        if (isChanged) {
            cachedDigest = undefined;
        }
        return isChanged;
    }

    function mergeReport({ content, breaks, completedAgeMs }: BreakReport, from: string): void {
        const nowMs = clock.monotonicMs();
        const knownBreaks = countBreaks(content);
        const reported = breaks
            .filter(({ ageMs }) => ageMs < records.retentionMs)
            .map(({ sampler, ageMs }) => createBreak(sampler, nowMs - ageMs));
        if (reported.length === 0 && completedAgeMs === undefined) {
            return;
        }
        const completedAtMs = completedAgeMs === undefined ? undefined : nowMs - completedAgeMs;
        if (merge(content, reported, completedAtMs, from)) {
            logger?.info("breakReportMerged", {
                content,
                from,
                reportedBreaks: breaks.length,
                completedAgeMs,
                knownBreaks,
                breaks: countBreaks(content),
            });
        }
    }

    function toReport({ digest, deaths, liftedAtMs }: QuarantineRecord): BreakReport {
        return {
            content: digest,
            breaks: deaths.map(({ bootId, atMs }) => ({
                sampler: bootId as IncarnationId,
                ageMs: ageOf(atMs),
            })),
            ...(liftedAtMs === undefined ? {} : { completedAgeMs: ageOf(liftedAtMs) }),
        };
    }

    return {
        pauseMs: content => {
            const breaks = breaksOf(content);
            return breaks.length === 0
                ? 0
                : Math.max(
                    0,
                    latestMsOf(breaks) + pauseAfterBreaks(countRounds(content)) - clock.monotonicMs(),
                );
        },
        countRounds,
        mayRetry: content => countBreaks(content) <= maxBreaksWithRetry,
        isEmpty: records.isEmpty,
        countBreaks,
        hadEnded: (content, sampler, sentAtMs, answeredAtMs) => {
            const fromMs = Math.max(answeredAtMs, sentAtMs - maxListedAfterEndMs);
            const untilMs = sentAtMs - reportToleranceMs;
            return records.list().some(({ digest, deaths }) =>
                digest !== content
                && deaths.some(({ bootId, atMs }) => bootId === sampler && fromMs < atMs && atMs < untilMs)
            );
        },
        recordBreak: (content, sampler, ageMs = 0) => {
            merge(content, [createBreak(sampler, clock.monotonicMs() - ageMs)], undefined);
        },
        recordCompletion: content => {
            if (countBreaks(content) > 0) {
                merge(content, [], clock.monotonicMs());
            }
        },
        digest: () => {
            if (cachedDigest === undefined || cachedDigest.validUntilMs <= clock.monotonicMs()) {
                cachedDigest = digestBreaks(records.list(), breaksOf);
            }
            return cachedDigest.value;
        },
        listReports: () => {
            const known = records.list();
            const latest = known.slice(0, latestReports);
            const others = known.slice(latestReports);
            const turn = others.length === 0 ? 0 : nextReport % others.length;
            const inTurn = [...others.slice(turn), ...others.slice(0, turn)].slice(
                0,
                maxReports - latestReports,
            );
            nextReport = turn + inTurn.length;
            return [...latest, ...inTurn].map(toReport);
        },
        reportOf: content => {
            const record = records.find(content);
            return record === undefined ? undefined : toReport(record);
        },
        merge: (reports, from) => reports.forEach(report => mergeReport(report, from)),
        describe: content => {
            const breaks = breaksOf(content);
            return {
                content,
                breaks: breaks.length,
                rounds: countRounds(content),
                breakAgeMs: breaks.length === 0 ? undefined : ageOf(latestMsOf(breaks)),
                breakReporter: records.find(content)?.reporter,
            };
        },
    };
}
