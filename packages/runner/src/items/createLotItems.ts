import { countTokens } from "@auburnarch/dispatch/countTokens";
import type { Lot } from "@auburnarch/lots/Lot";
import type { LotItem } from "@auburnarch/lots/LotItem";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { LotRunDeps } from "../jobs/LotRunDeps.js";
import type { Recorder } from "../results/Recorder.js";
import { createItemFinisher } from "./createItemFinisher.js";
import type { LotItems } from "./LotItems.js";
import { stepDueMs } from "./stepDueMs.js";
import { toSampleTask } from "./toSampleTask.js";

/** What takes less than half a second to make again is not worth a place on the disk. */
const leastLastingEvents = 10;

/** Makes the items of one job; `signal` is aborted once the job is not run here any more. */
export function createLotItems(deps: LotRunDeps, recorder: Recorder, signal: AbortSignal): LotItems {
    const { lot: lotId, shelf, clock, logger, metrics } = deps;
    const needAtMs = clock.monotonicMs() + stepDueMs;
    const open = new Set<SampleId>();
    const finishItem = createItemFinisher(deps);
    let lot: Lot | undefined;

    const taskOf = (item: SampleId): SampleId => `${lotId}/${item}` as SampleId;

    function withdraw(items: SampleId[]): void {
        if (lot !== undefined) {
            deps.dispatcherFor(lot).withdraw(items.map(taskOf));
        }
    }

    function terminate(item: SampleId, reason: string): void {
        if (open.has(item) && !signal.aborted) {
            logger.warn("itemTerminated", { lot: lotId, item, reason });
            metrics.count("items_total", { state: "terminated" });
            withdraw([item]);
            recorder.add({ item, state: "terminated", output: "", versions: [], score: undefined });
        }
    }

    async function finish(source: Lot, item: LotItem, spans: TokenSpan[]): Promise<void> {
        shelf.keep(item.item, { spans, isWhole: true });
        const result = await finishItem(source, item, spans, signal);
        if (result?.state === "terminated") {
            terminate(item.item, "rewardFailed");
        }
        else if (result !== undefined) {
            metrics.count("items_total", { state: "completed" });
            recorder.add(result);
        }
    }

    /** Returns the task of an item that has to be run; one whose whole text is there is finished instead. */
    function takeUp(source: Lot, item: LotItem, index: number, group: number): SampleTask | undefined {
        const tokensPerEvent = deps.tokensPerEvent(source);
        const toEvents = (tokens: number): number => Math.max(1, Math.ceil(tokens / tokensPerEvent));
        const task = taskOf(item.item);
        const kept = shelf.find(item.item, source.minVersion);
        open.add(item.item);
        if (kept?.isWhole === true) {
            void finish(source, item, kept.spans);
            return undefined;
        }
        const { expectedOutputTokens } = item;
        deps.register(task, {
            lot: source,
            item,
            expectedEvents: expectedOutputTokens === undefined ? undefined : toEvents(expectedOutputTokens),
            failures: 0,
            terminate: reason => terminate(item.item, reason),
        }, made => void finish(source, item, made.answer.spans));
        const maxEvents = toEvents(item.maxOutputTokens);
        const resume = kept?.spans ?? [];
        return toSampleTask(source, item, { task, index, group, needAtMs, maxEvents, resume });
    }

    function start(source: Lot): { runs: number; resumed: number; } {
        lot = source;
        const groups = new Map<string, number>();
        const tasks: SampleTask[] = [];
        source.items.forEach((item, index) => {
            const name = item.group ?? item.item;
            groups.set(name, groups.get(name) ?? groups.size);
            const isRecorded = recorder.isRecorded(item.item);
            const task = isRecorded ? undefined : takeUp(source, item, index, groups.get(name)!);
            if (task !== undefined) {
                tasks.push(task);
            }
        });
        deps.dispatcherFor(source).submit(tasks);
        return { runs: tasks.length, resumed: tasks.filter(task => task.resume!.length > 0).length };
    }

    function shelve(source: Lot, leastEvents: number): void {
        const dispatcher = deps.dispatcherFor(source);
        for (const item of open) {
            const spans = dispatcher.textOf(taskOf(item));
            const isShort = countTokens(spans) < leastEvents;
            if (!isShort && shelf.find(item, source.minVersion)?.isWhole !== true) {
                shelf.keep(item, { spans, isWhole: false });
            }
        }
    }

    return {
        start,
        close: item => {
            open.delete(item);
            deps.forget(taskOf(item));
            withdraw([item]);
        },
        terminateAll: reason => [...open].forEach(item => terminate(item, reason)),
        keepTexts: () => {
            if (lot !== undefined && shelf.isLasting) {
                shelve(lot, leastLastingEvents);
            }
        },
        withdrawAll: () => {
            if (lot !== undefined) {
                shelve(lot, 1);
            }
            withdraw([...open]);
        },
        forgetAll: () => open.forEach(item => deps.forget(taskOf(item))),
    };
}
