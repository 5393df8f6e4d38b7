import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { PeerView } from "../peers/PeerView.js";
import { chooseCopyHolders } from "./chooseCopyHolders.js";
import type { CopiedRun } from "./CopiedRun.js";
import { copyLimits } from "./copyLimits.js";
import { createCopySummary } from "./createCopySummary.js";
import { createTextTracker } from "./createTextTracker.js";
import type { PendingPart } from "./PendingPart.js";
import { planCopyMessages } from "./planCopyMessages.js";
import type { StoreTextsAnswer } from "./StoreTextsAnswer.js";
import type { StoreTextsRequest } from "./StoreTextsRequest.js";

interface TextCopierDeps {
    self: string;
    incarnation: string;
    failureDomain: FailureDomain;
    /** Number of copies of each text. */
    copies: number;
    listRuns: () => CopiedRun[];
    /** Whether all results of a batch job that no longer runs here are in the store. */
    isFinished: (lot: BatchJobId) => boolean;
    peers: () => PeerView[];
    /** Peers that do not know the method. */
    unsupported: () => ReadonlySet<string>;
    send: (runner: string, request: StoreTextsRequest) => Promise<StoreTextsAnswer>;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}

interface CopiedBatchJob {
    tracker: ReturnType<typeof createTextTracker>;
    holders: string[];
}

/** Bounds what a crash costs of each text, together with the time of one message. */
const roundIntervalMs = 400;
/** More than all slots of a fleet of thirty samplers generate, so that it is reached only after a change of holder. */
const maxBytesPerSecond = 2_000_000;

/** Texts are compared with their earlier states in slices of a few milliseconds, between which other work runs. */
const itemsPerSlice = 16;

/** Creates the copier, which sends the texts that are generated here to other runners until it is stopped. */
export function createTextCopier(deps: TextCopierDeps): { stop(): void; } {
    const { self, clock, logger, metrics } = deps;
    const batchJobs = new Map<BatchJobId, CopiedBatchJob>();
    const busyHolders = new Set<string>();
    const summary = createCopySummary(clock, logger);
    const stopped = new AbortController();
    let sources = 0;
    let budgetBytes = maxBytesPerSecond;
    let lastRoundMs = clock.monotonicMs();

    const createSource = (): string => `${deps.incarnation}/${++sources}`;

    function findIncarnation(name: string): string | undefined {
        return deps.peers().find(peer => peer.name === name)?.status?.incarnation;
    }

    /** Sends one message; returns whether the holder has answered it. */
    async function send(holder: string, request: StoreTextsRequest, parts: PendingPart[]): Promise<boolean> {
        const bytes = parts.reduce((sum, part) => sum + part.bytes, copyLimits.envelopeBytes);
        metrics.count("text_copies_bytes_total", {}, bytes);
        try {
            const { events } = await deps.send(holder, request);
            request.items.forEach(({ item }, index) => parts[index]!.confirm(events[item] ?? 0));
        }
        catch (error) {
            summary.recordFailure(holder, codeOf(error).name);
            return false;
        }
        summary.record(holder, parts.length, bytes);
        return true;
    }

    /** Sends messages one after another, so that a slow holder is not given more than it can process. */
    async function sendAll(holder: string, messages: PendingPart[][]): Promise<void> {
        busyHolders.add(holder);
        for (const parts of messages) {
            const items = parts.map(part => part.create());
            if (!await send(holder, { lot: parts[0]!.lot, from: self, items }, parts)) {
                break;
            }
        }
        busyHolders.delete(holder);
    }

    function chooseHolders(lot: BatchJobId, batchJob: CopiedBatchJob): void {
        const holders = chooseCopyHolders({
            batchJobId: lot,
            failureDomain: deps.failureDomain,
            peers: deps.peers(),
            copies: deps.copies,
            current: batchJob.holders,
            unsupported: deps.unsupported(),
        });
        holders.filter(holder => !batchJob.holders.includes(holder))
            .forEach(holder => logger.info("copyHolderChosen", { lot, holder }));
        batchJob.holders = holders;
    }

    function forgetEnded(runs: CopiedRun[]): void {
        const running = new Set(runs.map(run => run.lot));
        for (const [lot, { holders }] of batchJobs) {
            if (running.has(lot)) {
                continue;
            }
            batchJobs.delete(lot);
            if (deps.isFinished(lot)) {
                holders.forEach(holder =>
                    void send(holder, { lot, from: self, items: [], isOver: true }, [])
                );
            }
        }
    }

    async function updateTexts({ lot, listOpen, findText }: CopiedRun): Promise<void> {
        const batchJob = batchJobs.get(lot)
            ?? { tracker: createTextTracker(lot, createSource), holders: [] };
        batchJobs.set(lot, batchJob);
        chooseHolders(lot, batchJob);
        const items = listOpen();
        batchJob.tracker.retain(items);
        for (let at = 0; at < items.length; at += itemsPerSlice) {
            items.slice(at, at + itemsPerSlice).map(findText).filter(text => text !== undefined)
                .forEach(batchJob.tracker.update);
            await clock.sleep(0, stopped.signal);
        }
    }

    function listParts(): PendingPart[] {
        return [...batchJobs.values()].flatMap(({ tracker, holders }) =>
            holders.filter(name => !busyHolders.has(name)).flatMap(name => {
                const incarnation = findIncarnation(name);
                return incarnation === undefined ? [] : tracker.listPending(`${name}\n${incarnation}`);
            })
        );
    }

    function takeBudget(): number {
        const nowMs = clock.monotonicMs();
        const gainedBytes = (nowMs - lastRoundMs) / 1_000 * maxBytesPerSecond;
        budgetBytes = Math.min(maxBytesPerSecond, budgetBytes + gainedBytes);
        lastRoundMs = nowMs;
        return budgetBytes;
    }

    function sendPending(): void {
        const maxMessageBytes = copyLimits.maxMessageBytes - copyLimits.envelopeBytes;
        const messages = planCopyMessages({ parts: listParts(), budgetBytes: takeBudget(), maxMessageBytes });
        budgetBytes -= messages.flat().reduce((sum, part) => sum + part.bytes, 0);
        const byHolder = new Map<string, PendingPart[][]>();
        for (const parts of messages) {
            const holder = parts[0]!.holder.split("\n")[0]!;
            byHolder.set(holder, [...byHolder.get(holder) ?? [], parts]);
        }
        byHolder.forEach((ofHolder, holder) => void sendAll(holder, ofHolder));
    }

    async function round(): Promise<void> {
        const runs = deps.listRuns();
        forgetEnded(runs);
        for (const each of runs) {
            await updateTexts(each);
        }
        if (!stopped.signal.aborted) {
            sendPending();
            summary.writeIfDue();
        }
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            try {
                await round();
            }
            catch (error) {
                // Copies only save work; batch jobs run without them.
                logger.error("copyRoundFailed", { detail: String(error) });
            }
            await clock.sleep(roundIntervalMs, stopped.signal);
        }
    }

    void run();
    return { stop: () => stopped.abort() };
}
