import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import { createFailureDetector } from "./createFailureDetector.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { ReportView } from "./ReportView.js";

/** Latest report of each sampler. */
interface ReportRegistry {
    /** Applies a report if it is newer; the next one is expected within about `expectedGapMs`. */
    accept(report: SamplerReport, expectedGapMs: number): boolean;
    recordContact(sampler: SamplerId, reached: boolean): void;
    list(): ReportView[];
    /** Removes samplers that have been silent for `forgetAfterMs` and are not `isListed`. */
    prune(isListed: (report: SamplerReport) => boolean): void;
    size(): number;
}

interface Row {
    report: SamplerReport;
    /** Highest sequence number of the current and the last few incarnations. */
    sequences: Map<IncarnationId, number>;
    suspected: boolean;
}

const maxIncarnations = 4;

/**
 * Creates the registry of reports. A report is applied only if its sequence number is the highest of its incarnation.
 * Otherwise one that arrives out of order, or from an earlier incarnation, would replace newer data.
 */
export function createReportRegistry(
    nowMs: () => number,
    timing: MembershipTiming,
    logger: Logger,
): ReportRegistry {
    const rows = new Map<SamplerId, Row>();
    const detector = createFailureDetector(nowMs, timing);

    function accept(report: SamplerReport, expectedGapMs: number): boolean {
        const row = rows.get(report.sampler);
        const sequences = row?.sequences ?? new Map<IncarnationId, number>();
        if (report.sequence <= (sequences.get(report.incarnation) ?? -1)) {
            return false;
        }
        if (row === undefined || row.report.incarnation !== report.incarnation) {
            logger.info("samplerSeen", {
                sampler: report.sampler,
                incarnation: report.incarnation,
                before: row?.report.incarnation,
                vm: report.vm,
            });
        }
        sequences.delete(report.incarnation);
        sequences.set(report.incarnation, report.sequence);
        if (sequences.size > maxIncarnations) {
            sequences.delete(sequences.keys().next().value!);
        }
        rows.set(report.sampler, { report, sequences, suspected: row?.suspected ?? false });
        detector.recordAlive(report.sampler, expectedGapMs);
        return true;
    }

    function logChange(row: Row, suspected: boolean, reason: string, ageMs: number): void {
        if (row.suspected !== suspected) {
            row.suspected = suspected;
            const fields = {
                sampler: row.report.sampler,
                reason,
                ageMs: Math.round(ageMs),
                known: rows.size,
            };
            logger.info(suspected ? "samplerSuspected" : "samplerTrusted", fields);
        }
    }

    function list(): ReportView[] {
        const verdicts = detector.judge();
        return [...rows.values()].map(row => {
            const { ageMs, suspected, reason } = verdicts.get(row.report.sampler)!;
            logChange(row, suspected, reason, ageMs);
            return { report: row.report, ageMs, suspected };
        });
    }

    function prune(isListed: (report: SamplerReport) => boolean): void {
        for (const { report, ageMs } of list()) {
            if (ageMs > timing.forgetAfterMs && !isListed(report)) {
                rows.delete(report.sampler);
                detector.forget(report.sampler);
                logger.info("samplerForgotten", { sampler: report.sampler, ageMs: Math.round(ageMs) });
            }
        }
    }

    return {
        accept,
        recordContact: (sampler, reached) => {
            if (!reached) {
                detector.recordFailedConnection(sampler);
            }
            else if (rows.has(sampler)) {
                detector.recordAlive(sampler, timing.maxReportIntervalMs);
            }
        },
        list,
        prune,
        size: () => rows.size,
    };
}
