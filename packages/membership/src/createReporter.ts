import { callWithTimeout } from "@auburnarch/documents/callWithTimeout";
import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import { parseMessage } from "@auburnarch/documents/parseMessage";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import { createEntryDirectory } from "./createEntryDirectory.js";
import { createTargetChooser } from "./createTargetChooser.js";
import { defaultMembershipTiming } from "./defaultMembershipTiming.js";
import type { EntryTarget } from "./EntryTarget.js";
import { isOwnVmLeaving } from "./isOwnVmLeaving.js";
import { listEntryTargets } from "./listEntryTargets.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import { planNextReportMs } from "./planNextReportMs.js";
import type { ReportAnswer } from "./ReportAnswer.js";
import { reportAnswerSchema } from "./reportAnswerSchema.js";
import type { Reporter } from "./Reporter.js";
import type { ReporterDeps } from "./ReporterDeps.js";

const minSleepMs = 50;
const maxSleepMs = 1_000;

/**
 * Creates the reporter of a sidecar. It reports to a few entries, chosen by rendezvous hash over failure domains.
 * Each answer sets the time of the next report; a failing entry is replaced immediately by the next in hash order.
 */
export function createReporter(deps: ReporterDeps): Reporter {
    const timing: MembershipTiming = { ...defaultMembershipTiming, ...deps.timing };
    const { clock } = deps;
    const stopped = new AbortController();
    const directory = createEntryDirectory(() => clock.monotonicMs(), deps.seeds);
    const chooser = createTargetChooser(deps.sampler, timing.reportTargets, directory, clock);
    const dueAtMs = new Map<string, number>();
    const inFlight = new Set<string>();
    /** Phase of this sidecar's second report within the interval, so that sidecars do not report in unison. */
    const phase = deps.random.nextUnit();
    let vmListDueMs = 0;
    let lastAnswerAtMs = clock.monotonicMs();
    /** Counts the calls of `reportNow`. */
    let changes = 0;

    async function readVmList(): Promise<void> {
        try {
            const listed = await deps.vmList();
            if (isOwnVmLeaving(deps.report().vm, listed)) {
                deps.onLeaving();
            }
            addEntries(listEntryTargets(listed));
        }
        catch (error) {
            deps.logger.warn("vmListFailed", { code: codeOf(error).name });
        }
    }

    function isVmListDue(): boolean {
        const nowMs = clock.monotonicMs();
        const isSilent = nowMs - lastAnswerAtMs > timing.maxReportIntervalMs;
        return nowMs >= vmListDueMs && (isSilent || directory.countUsable() < timing.reportTargets);
    }

    function addEntries(entries: EntryTarget[]): void {
        if (entries.length > 0) {
            directory.add(entries);
            chooser.invalidate();
        }
    }

    function nextReportAtMs(address: string, intervalMs: number): number {
        const targets = chooser.choose().map(target => target.address);
        const plannedMs = targets.filter(each => each !== address).map(each => dueAtMs.get(each) ?? 0);
        const nowMs = clock.monotonicMs();
        return planNextReportMs({ nowMs, plannedMs, targets: targets.length, intervalMs, phase });
    }

    function handleAnswer(address: string, answer: ReportAnswer, reportedChanges: number): void {
        directory.recordSuccess(address);
        lastAnswerAtMs = clock.monotonicMs();
        addEntries(answer.entries);
        const requestedDocuments = deps.wholeDocuments(answer.wanted ?? []);
        if (requestedDocuments.length > 0) {
            void reportTo(address, requestedDocuments);
        }
        else if (reportedChanges === changes) {
            dueAtMs.set(address, nextReportAtMs(address, answer.nextReportMs));
        }
        else {
            // The state changed while the report was in flight, so the answer refers to an older state.
            void reportTo(address);
        }
        if (answer.documents.length > 0) {
            deps.onDocuments(answer.documents);
        }
        if (answer.leaving) {
            deps.onLeaving();
        }
    }

    /**
     * The documents to request. A full document is requested from one entry at a time; otherwise all chosen entries
     * would each send a manifest of some hundred kilobytes at start.
     */
    function digestToRequest(): DocumentDigest {
        const digest = deps.digest();
        const isAlone = inFlight.size <= 1;
        return isAlone
            ? digest
            : Object.fromEntries(Object.entries(digest).filter(([, version]) => version > 0));
    }

    async function reportTo(address: string, documents: DocumentTransfer[] = []): Promise<void> {
        inFlight.add(address);
        const reportedChanges = changes;
        const message = {
            report: deps.report(),
            digest: digestToRequest(),
            knownEntries: directory.countUsable(),
            ...(documents.length > 0 ? { documents } : {}),
        };
        const call = (): Promise<ReportAnswer> =>
            deps.exchange(address, message).then(answer =>
                parseMessage<ReportAnswer>(reportAnswerSchema, answer)
            );
        const outcome = await callWithTimeout(clock, timing.reportTimeoutMs, call);
        inFlight.delete(address);
        if (outcome !== undefined) {
            handleAnswer(address, outcome.answer, reportedChanges);
            return;
        }
        directory.recordFailure(address);
        dueAtMs.delete(address);
        chooser.invalidate();
        deps.logger.warn("reportFailed", { sampler: deps.sampler, entry: address });
    }

    function reportWhereDue(): void {
        const nowMs = clock.monotonicMs();
        for (const { address } of chooser.choose()) {
            if (!inFlight.has(address) && nowMs >= (dueAtMs.get(address) ?? 0)) {
                void reportTo(address);
            }
        }
    }

    function nextSleepMs(): number {
        const dueMs = chooser.choose().map(({ address }) => dueAtMs.get(address) ?? 0);
        const leftMs = Math.min(...dueMs) - clock.monotonicMs();
        return Math.min(maxSleepMs, Math.max(minSleepMs, leftMs));
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            if (isVmListDue()) {
                vmListDueMs = clock.monotonicMs() + timing.vmListIntervalMs;
                await callWithTimeout(clock, timing.reportTimeoutMs, readVmList);
            }
            reportWhereDue();
            await clock.sleep(nextSleepMs(), stopped.signal);
        }
    }

    return {
        start: () => void run(),
        stop: () => stopped.abort(),
        reportNow: () => {
            changes++;
            dueAtMs.clear();
            reportWhereDue();
        },
        targets: () => chooser.choose().map(target => target.address),
    };
}
