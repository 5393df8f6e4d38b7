import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import type { ItemResult } from "@auburnarch/batches/ItemResult";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import { createBatchingWindow } from "./createBatchingWindow.js";
import { fitToChunk } from "./fitToChunk.js";
import type { GroupNeed } from "./GroupNeed.js";
import type { Recorder } from "./Recorder.js";
import { recordPauseMs } from "./recordPauseMs.js";
import { selectChunkResults } from "./selectChunkResults.js";

interface RecorderDeps {
    batchJobId: BatchJobId;
    batchJobStore: BatchJobStore;
    /** Number of items in the batch job. */
    total: number;
    /** Called for each item whose result is now in the store, whichever runner generated it. */
    onRecorded: (item: SampleId) => void;
    /** Called for each chunk that is now in the store, in order, whichever runner recorded it. */
    onChunk: (number: number, chunk: ResultChunk) => void;
    clock: Clock;
    random: Random;
    logger: Logger;
    invariants: Invariants;
}

const retryMs = 200;
/**
 * Creates the recorder of one batch job. Chunk k + 1 is created only after chunk k, and a chunk that another runner
 * created first is adopted as it is. Two runners of one batch job therefore record no item twice, and no position
 * changes.
 */
export function createRecorder(deps: RecorderDeps): Recorder {
    const { batchJobId, batchJobStore, clock, logger } = deps;
    const recordedItems = new Set<SampleId>();
    const stopped = new AbortController();
    const batchingWindow = createBatchingWindow(clock, pauseMs);
    let need: GroupNeed | undefined;
    let isNeedRecorded = false;
    let dueAtMs = Infinity;
    let waiting: ItemResult[] = [];
    let chunks = 0;
    /** Time at which the next chunk was first sent to the store; undefined if it has not been sent. */
    let appendSentAtMs: number | undefined;
    let loop: Promise<void> | undefined;

    function applyChunk(chunk: ResultChunk): void {
        const isNext = chunk.from === recordedItems.size;
        deps.invariants.check(resultCodes.deliveredTwice, isNext, {
            lot: batchJobId,
            chunk: chunks,
            from: chunk.from,
        });
        for (const { item } of chunk.results) {
            const isFirst = !recordedItems.has(item);
            deps.invariants.check(resultCodes.deliveredTwice, isFirst, { lot: batchJobId, item });
            recordedItems.add(item);
            need?.markFinished(item);
            deps.onRecorded(item);
        }
        isNeedRecorded ||= need?.isMet() === true && !waiting.some(result => !recordedItems.has(result.item));
        deps.onChunk(chunks, chunk);
        chunks++;
        appendSentAtMs = undefined;
        waiting = waiting.filter(result => !recordedItems.has(result.item));
    }

    async function recordOnce(): Promise<void> {
        const sentAtMs = clock.monotonicMs();
        appendSentAtMs ??= sentAtMs;
        const own: ResultChunk = {
            from: recordedItems.size,
            results: selectChunkResults(waiting),
            writer: deps.random.nextId(),
        };
        const stored = await batchJobStore.appendChunk(batchJobId, chunks, own);
        const isOwn = stored.writer === own.writer;
        logger.info("resultsRecorded", {
            lot: batchJobId,
            chunk: chunks,
            own: isOwn,
            results: stored.results.length,
            recorded: recordedItems.size + stored.results.length,
            tookMs: Math.round(clock.monotonicMs() - sentAtMs),
        });
        applyChunk(stored);
    }

    function pauseMs(waitedMs: number): number {
        return recordPauseMs({
            total: deps.total,
            finished: recordedItems.size + waiting.length,
            isNeedMet: need?.isMet(),
            isNeedRecorded,
            untilDueMs: dueAtMs - clock.monotonicMs(),
            waitedMs,
        });
    }

    async function run(): Promise<void> {
        while (waiting.length > 0 && !stopped.signal.aborted) {
            await batchingWindow.wait();
            try {
                if (waiting.length > 0 && !stopped.signal.aborted) {
                    await recordOnce();
                }
            }
            catch (error) {
                // The same chunk is attempted again: if the write with the lost answer succeeded, it is returned as
                // the stored one.
                const { number, name } = codeOf(error);
                logger.warn("recordingFailed", {
                    lot: batchJobId,
                    chunk: chunks,
                    code: number,
                    name,
                    waiting: waiting.length,
                });
                await clock.sleep(retryMs, stopped.signal);
            }
        }
    }

    function start(): void {
        loop ??= run().finally(() => {
            loop = undefined;
        });
    }

    return {
        load: async () => {
            for (;;) {
                const chunk = await batchJobStore.readChunk(batchJobId, chunks);
                if (chunk === undefined) {
                    return;
                }
                applyChunk(chunk);
            }
        },
        setNeed: (expected, atMs) => {
            need = expected;
            dueAtMs = atMs;
        },
        add: result => {
            if (!recordedItems.has(result.item) && !waiting.some(each => each.item === result.item)) {
                waiting.push(fitToChunk(result, logger, batchJobId));
                need?.markFinished(result.item);
                batchingWindow.recheck();
                start();
            }
        },
        isRecorded: item => recordedItems.has(item),
        recorded: () => recordedItems.size,
        appendingMs: () => appendSentAtMs === undefined ? 0 : clock.monotonicMs() - appendSentAtMs,
        flush: () => {
            batchingWindow.close();
        },
        drained: async () => {
            while (loop !== undefined) {
                await loop;
            }
        },
        stop: () => {
            stopped.abort();
            batchingWindow.close();
        },
    };
}
