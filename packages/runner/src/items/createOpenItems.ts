import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobItem } from "@auburnarch/batches/BatchJobItem";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { BatchJobRunDeps } from "../jobs/BatchJobRunDeps.js";
import type { Recorder } from "../results/Recorder.js";
import { createItemFinisher } from "./createItemFinisher.js";
import { createUnfinishedTexts } from "./createUnfinishedTexts.js";
import type { OpenItems } from "./OpenItems.js";
import { stepDueMs } from "./stepDueMs.js";
import { textKeyOf } from "./textKeyOf.js";
import { toSampleTask } from "./toSampleTask.js";
import { versionsOf } from "./versionsOf.js";

/** Pause before an item is finished again after an error; its text is complete, so nothing is generated again. */
const finishRetryMs = 200;

/** Never rejects: nothing awaits it, and an unhandled rejection would end the process with all its batch jobs. */
async function retryUntilFinished(
    { batchJobId, clock, logger }: BatchJobRunDeps,
    item: SampleId,
    isNeeded: () => boolean,
    finish: () => Promise<void>,
    signal: AbortSignal,
): Promise<void> {
    while (isNeeded()) {
        try {
            return await finish();
        }
        catch (error) {
            const { number, name } = codeOf(error);
            const detail = error instanceof Error ? error.message : String(error);
            logger.error("itemNotFinished", { lot: batchJobId, item, code: number, name, detail });
            await clock.sleep(finishRetryMs, signal);
        }
    }
}

/** Creates the open items of one batch job; `signal` is aborted once the batch job no longer runs here. */
export function createOpenItems(deps: BatchJobRunDeps, recorder: Recorder, signal: AbortSignal): OpenItems {
    const { batchJobId, textCache, clock, logger, metrics } = deps;
    const needAtMs = clock.monotonicMs() + stepDueMs;
    const open = new Set<SampleId>();
    const finishItem = createItemFinisher(deps);
    let startedBatchJob: BatchJob | undefined;

    const taskOf = (item: SampleId): SampleId => `${batchJobId}/${item}` as SampleId;
    const texts = createUnfinishedTexts(deps, taskOf);

    function withdraw(items: SampleId[]): void {
        if (startedBatchJob !== undefined) {
            deps.dispatcherFor(startedBatchJob).withdraw(items.map(taskOf));
        }
    }

    function terminate(item: SampleId, reason: string): void {
        if (open.has(item) && !signal.aborted) {
            logger.warn("itemTerminated", { lot: batchJobId, item, reason });
            metrics.count("items_total", { state: "terminated" });
            withdraw([item]);
            recorder.add({ item, state: "terminated", output: "", versions: [], score: undefined });
        }
    }

    async function finish(batchJob: BatchJob, item: BatchJobItem, spans: TokenSpan[]): Promise<void> {
        textCache.put(textKeyOf(batchJob, item.item), { spans, isComplete: true });
        const result = await finishItem(batchJob, item, spans, signal);
        if (result?.state === "terminated") {
            terminate(item.item, "rewardFailed");
        }
        else if (result !== undefined) {
            metrics.count("items_total", { state: "completed" });
            recorder.add(result);
        }
    }

    /** Whether the item's route allows the versions of a text; it may require a single one. */
    function mayRecord(batchJob: BatchJob, item: BatchJobItem, spans: TokenSpan[]): boolean {
        return versionsOf(spans).length <= 1
            || deps.findRoute(batchJob.host, item.path)?.isSingleVersion !== true;
    }

    function finishWithRetries(batchJob: BatchJob, item: BatchJobItem, spans: TokenSpan[]): Promise<void> {
        const isNeeded = (): boolean => open.has(item.item) && !signal.aborted;
        return retryUntilFinished(deps, item.item, isNeeded, () => finish(batchJob, item, spans), signal);
    }

    /** Returns the task of an item that has to be run. An item with a complete cached text is finished instead. */
    function prepareTask(
        batchJob: BatchJob,
        item: BatchJobItem,
        index: number,
        group: number,
    ): SampleTask | undefined {
        const tokensPerEvent = deps.tokensPerEvent(batchJob);
        const toEvents = (tokens: number): number => Math.max(1, Math.ceil(tokens / tokensPerEvent));
        const task = taskOf(item.item);
        const known = textCache.find(textKeyOf(batchJob, item.item), batchJob.minVersion);
        const cached = known !== undefined && mayRecord(batchJob, item, known.spans) ? known : undefined;
        open.add(item.item);
        if (cached?.isComplete === true) {
            void finishWithRetries(batchJob, item, cached.spans);
            return undefined;
        }
        const { expectedOutputTokens } = item;
        deps.register(task, {
            batchJob,
            item,
            expectedEvents: expectedOutputTokens === undefined ? undefined : toEvents(expectedOutputTokens),
            failures: 0,
            terminate: reason => terminate(item.item, reason),
        }, ({ answer: { spans } }) => {
            if (mayRecord(batchJob, item, spans)) {
                void finishWithRetries(batchJob, item, spans);
                return;
            }
            logger.info("itemRestarted", { sample: task, versions: versionsOf(spans).join(",") });
            deps.dispatcherFor(batchJob).submit([toTask([])]);
        });
        const maxEvents = toEvents(item.maxOutputTokens);
        const toTask = (resume: TokenSpan[]): SampleTask =>
            toSampleTask(batchJob, item, { task, index, group, needAtMs, maxEvents, resume });
        return toTask(cached?.spans ?? []);
    }

    function start(batchJob: BatchJob): { runs: number; resumed: number; } {
        startedBatchJob = batchJob;
        const groups = new Map<string, number>();
        const tasks: SampleTask[] = [];
        batchJob.items.forEach((item, index) => {
            const name = item.group ?? item.item;
            groups.set(name, groups.get(name) ?? groups.size);
            const isRecorded = recorder.isRecorded(item.item);
            const task = isRecorded ? undefined : prepareTask(batchJob, item, index, groups.get(name)!);
            if (task !== undefined) {
                tasks.push(task);
            }
        });
        deps.dispatcherFor(batchJob).submit(tasks);
        return { runs: tasks.length, resumed: tasks.filter(task => task.resume!.length > 0).length };
    }

    return {
        start,
        close: item => {
            open.delete(item);
            deps.unregister(taskOf(item));
            withdraw([item]);
        },
        terminateExpired: ageMs => {
            for (const { item, path } of startedBatchJob?.items ?? []) {
                const ttlMs = deps.findRoute(startedBatchJob!.host, path)?.itemTtlMs ?? Infinity;
                if (open.has(item) && ageMs >= ttlMs) {
                    terminate(item, "expired");
                }
            }
        },
        saveTexts: () => {
            if (startedBatchJob !== undefined && textCache.isPersistent) {
                texts.save(startedBatchJob, open);
            }
        },
        listOpen: () => [...open],
        findText: item =>
            startedBatchJob !== undefined && open.has(item) ? texts.find(startedBatchJob, item) : undefined,
        withdrawAll: () => {
            if (startedBatchJob !== undefined) {
                texts.save(startedBatchJob, open, 1);
            }
            withdraw([...open]);
        },
        discardAll: () => open.forEach(item => deps.unregister(taskOf(item))),
    };
}
