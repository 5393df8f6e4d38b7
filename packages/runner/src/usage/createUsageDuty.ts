import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { TrueTime } from "@auburnarch/types/TrueTime";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import type { Duty } from "../duties/Duty.js";
import type { HeldDuties } from "../duties/HeldDuties.js";
import { createReportLedger } from "./createReportLedger.js";
import { planReport } from "./planReport.js";
import type { RecordedReport } from "./RecordedReport.js";
import type { SendUsageReport } from "./SendUsageReport.js";
import type { UsageTimes } from "./UsageTimes.js";

interface UsageDutyDeps {
    self: string;
    times: UsageTimes;
    store: Pick<ObjectStore, "read" | "write">;
    starts: Pick<StartCountRegistry, "countsOf" | "isCountedUntil">;
    send: SendUsageReport;
    trueTime: TrueTime;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}

/** Pause after a failure, doubled with each further failure. */
const firstPauseMs = 250;
const maxPauseMs = 1_000;

const sumOf = (counts: Iterable<number>): number => [...counts].reduce((sum, count) => sum + count, 0);

/**
 * Reports the usage of each window on behalf of the duty's holder. A report is recorded in the store before it is
 * sent, so that any process that sends it again after a crash or a lost answer sends the same counts.
 */
export function createUsageDuty(deps: UsageDutyDeps, held: HeldDuties): Duty {
    const { times, clock, logger, metrics, trueTime } = deps;
    const ledger = createReportLedger(deps.store);
    const firstWindow = Math.floor(trueTime.nowMs() / times.windowMs);
    const abandoned = new Set<number>();
    /** Windows whose reports this process has sent, with any outcome. */
    const attempted = new Set<number>();
    /** Total of each window as recorded by this process, to detect counts that arrive later. */
    const recordedTotals = new Map<number, number>();
    let isStopped = false;
    let isBusy = false;
    let failures = 0;
    let retryAtMs = -Infinity;
    let lastFailure = "noHolderInTime";

    function recordFailure(cause: string): void {
        lastFailure = cause;
        retryAtMs = clock.monotonicMs() + Math.min(maxPauseMs, firstPauseMs * 2 ** failures);
        failures++;
    }

    /**
     * Abandons a window. An earlier holder that recorded a report without marking it as settled may well have sent
     * it.
     */
    function abandon(window: number): void {
        const isOfEarlierHolder = !recordedTotals.has(window)
            && ledger.reports()?.some(report => report.window === window) === true;
        const result = isOfEarlierHolder && !attempted.has(window) ? "unconfirmed" : "missed";
        abandoned.add(window);
        ledger.markSettled(window);
        metrics.count("usage_reports_total", { result });
        logger.warn("usageReportGivenUp", { window, result, cause: lastFailure, fencing: held.fencing });
    }

    async function record(window: number): Promise<void> {
        const counts = Object.fromEntries(deps.starts.countsOf(window)) as Record<TeamId, number>;
        const total = sumOf(Object.values(counts));
        await ledger.record({ window, counts });
        recordedTotals.set(window, total);
        logger.info("usageRecorded", { window, teams: Object.keys(counts).length, requests: total });
    }

    async function send({ window, counts }: RecordedReport): Promise<void> {
        attempted.add(window);
        const outcome = await deps.send({ window, counts }, { holder: deps.self, fencing: held.fencing });
        const lateMs = Math.round(trueTime.nowMs() - (window + 1) * times.windowMs);
        metrics.count("usage_reports_total", { result: outcome });
        logger.info("usageReportSent", { window, outcome, fencing: held.fencing, sinceEndMs: lateMs });
        if (outcome === "accepted") {
            failures = 0;
            ledger.markSettled(window);
        }
        else if (outcome === "refused") {
            lastFailure = outcome;
            abandon(window);
        }
        else {
            recordFailure(outcome);
        }
    }

    /**
     * Counts that arrive after their window was recorded are never sent; they are reported to the operator instead.
     */
    function reportLateCounts(): void {
        for (const [window, before] of recordedTotals) {
            const total = sumOf(deps.starts.countsOf(window).values());
            if (total > before) {
                metrics.count("usage_counted_late_total", {}, total - before);
                logger.warn("usageCountedLate", { window, requests: total - before });
                recordedTotals.set(window, total);
            }
            if (trueTime.nowMs() - window * times.windowMs > 2 * (times.dueMs + times.windowMs)) {
                recordedTotals.delete(window);
            }
        }
    }

    async function step(): Promise<void> {
        const reports = ledger.reports();
        if (reports === undefined) {
            await ledger.load();
            return;
        }
        const next = planReport({
            times,
            nowMs: trueTime.nowMs(),
            reports,
            firstWindow,
            isAbandoned: window => abandoned.has(window),
            isCountedUntil: deps.starts.isCountedUntil,
        });
        if (next.kind === "giveUp") {
            abandon(next.window);
        }
        else if (next.kind !== "wait" && held.mayAct()) {
            await (next.kind === "record" ? record(next.window) : send(next.report));
        }
    }

    async function run(): Promise<void> {
        isBusy = true;
        try {
            await step();
            reportLateCounts();
        }
        catch (error) {
            const code = codeOf(error);
            const isStoreUnavailable = code === resultCodes.storeUnavailable
                || code === resultCodes.storeThrottled;
            recordFailure(isStoreUnavailable ? code.name : String(error));
            logger.warn("usageStepFailed", { code: code.number, name: code.name, detail: String(error) });
        }
        isBusy = false;
    }

    return {
        round: () => {
            if (!isBusy && !isStopped && clock.monotonicMs() >= retryAtMs) {
                void run();
            }
        },
        stop: () => {
            isStopped = true;
        },
    };
}
