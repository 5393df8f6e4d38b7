import { createStopController } from "@auburnarch/clock/createStopController";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Lot } from "@auburnarch/lots/Lot";
import type { LotItem } from "@auburnarch/lots/LotItem";
import type { LotResult } from "@auburnarch/lots/LotResult";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { MadeSample } from "@auburnarch/types/MadeSample";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createRecorder } from "./createRecorder.js";
import type { ItemRun } from "./ItemRun.js";
import type { LotRun } from "./LotRun.js";
import type { LotRunDeps } from "./LotRunDeps.js";

const retryMs = 200;
/** A trainer's step is due this long after it was asked for, until its route says otherwise. */
const defaultDueMs = 7_500;
/** Clocks of VMs differ by seconds at most; an item is given up late rather than early. */
const clockSlackMs = 5_000;

/** Versions of a text, each once, in order of appearance. */
function versionsOf(made: MadeSample): WeightVersion[] {
    return [...new Set(made.answer.spans.map(span => span.version))];
}

function textOf(made: MadeSample): string {
    return made.answer.spans.map(span => span.text).join("").slice(0, -1);
}

/** Starts to run a job: reads it, submits the items that have no result yet, records results as they come. */
export function createLotRun(deps: LotRunDeps): LotRun {
    const { lot: lotId, entry, lots, clock, logger, metrics } = deps;
    const stopped = createStopController();
    const startedAtMs = clock.monotonicMs();
    const open = new Set<SampleId>();
    let lot: Lot | undefined;
    let cancelExpiry = (): void => {};

    const recorder = createRecorder({ ...deps, onRecorded: close });

    function close(item: SampleId): void {
        open.delete(item);
        deps.forget(item);
        if (lot !== undefined) {
            deps.dispatcherFor(lot).withdraw([item]);
        }
        if (lot !== undefined && recorder.recorded() + 1 >= entry.total) {
            cancelExpiry();
        }
    }

    function terminate(item: SampleId, reason: string): void {
        if (open.has(item) && !stopped.signal.aborted) {
            logger.warn("itemTerminated", { lot: lotId, item, reason });
            metrics.count("items_total", { state: "terminated" });
            if (lot !== undefined) {
                deps.dispatcherFor(lot).withdraw([item]);
            }
            recorder.add({ item, state: "terminated", output: "", versions: [], score: undefined });
        }
    }

    async function finish(item: LotItem, made: MadeSample): Promise<void> {
        const versions = versionsOf(made);
        const isFresh = versions.every(version => version >= made.task.minVersion);
        deps.invariants.check(resultCodes.staleDelivered, isFresh, { lot: lotId, item: item.item });
        const result: LotResult = {
            item: item.item,
            state: "completed",
            output: textOf(made),
            versions,
            score: undefined,
        };
        if (item.reward !== undefined) {
            const attempts = deps.findRoute(lot!.host, item.path)?.maxAttempts ?? 1;
            const scored = await deps.scoreItem(item.reward, {}, attempts, stopped.signal);
            if (scored === undefined) {
                return;
            }
            if (scored.kind === "failed") {
                terminate(item.item, "rewardFailed");
                return;
            }
            result.score = scored.score;
        }
        metrics.count("items_total", { state: "completed" });
        recorder.add(result);
    }

    function toTask(
        source: Lot,
        item: LotItem,
        index: number,
        groups: Map<string, number>,
        toEvents: (tokens: number) => number,
    ): SampleTask {
        const group = item.group ?? item.item;
        if (!groups.has(group)) {
            groups.set(group, groups.size);
        }
        return {
            sample: item.item,
            step: source.step,
            group: groups.get(group)!,
            index,
            prompt: item.item,
            maxTokens: toEvents(item.maxOutputTokens),
            seed: 0,
            digest: "" as ContentDigest,
            needAtMs: startedAtMs + defaultDueMs,
            minVersion: source.minVersion,
        };
    }

    function submit(source: Lot): void {
        const tokensPerEvent = deps.tokensPerEvent(source);
        const toEvents = (tokens: number): number => Math.max(1, Math.ceil(tokens / tokensPerEvent));
        const groups = new Map<string, number>();
        const tasks: SampleTask[] = [];
        source.items.forEach((item, index) => {
            const task = toTask(source, item, index, groups, toEvents);
            if (recorder.isRecorded(item.item)) {
                return;
            }
            open.add(item.item);
            const run: ItemRun = {
                lot: source,
                item,
                expectedEvents: item.expectedOutputTokens === undefined
                    ? undefined
                    : toEvents(item.expectedOutputTokens),
                failures: 0,
                terminate: reason => terminate(item.item, reason),
            };
            deps.register(item.item, run, made => void finish(item, made));
            tasks.push(task);
        });
        logger.info("lotStarted", {
            lot: lotId,
            policy: source.policy,
            step: source.step,
            minVersion: source.minVersion,
            items: source.items.length,
            recorded: recorder.recorded(),
            ageMs: Math.round(clock.wallMs() - entry.submittedAtMs),
        });
        deps.dispatcherFor(source).submit(tasks);
    }

    function setExpiry(source: Lot): void {
        const ttlMs = deps.findRoute(source.host, source.path)?.itemTtlMs;
        if (ttlMs !== undefined) {
            const leftMs = entry.submittedAtMs + ttlMs + clockSlackMs - clock.wallMs();
            cancelExpiry = clock.startTimer(
                leftMs,
                () => [...open].forEach(item => terminate(item, "expired")),
            );
        }
    }

    async function tryStart(): Promise<boolean> {
        const source = await lots.readLot(lotId);
        if (source === undefined) {
            logger.warn("lotBodyMissing", { lot: lotId });
            return false;
        }
        await recorder.load();
        if (!stopped.signal.aborted) {
            lot = source;
            submit(source);
            setExpiry(source);
        }
        return true;
    }

    async function start(): Promise<void> {
        while (!stopped.signal.aborted) {
            try {
                if (await tryStart()) {
                    return;
                }
            }
            catch (error) {
                const { number, name } = codeOf(error);
                logger.warn("lotNotRead", { lot: lotId, code: number, name });
            }
            await clock.sleep(retryMs, stopped.signal);
        }
    }

    void start();
    return {
        isComplete: () => recorder.recorded() >= entry.total,
        stop: async isHandedOver => {
            cancelExpiry();
            if (lot !== undefined) {
                deps.dispatcherFor(lot).withdraw([...open]);
            }
            if (isHandedOver) {
                recorder.hurry();
                await recorder.drained();
            }
            stopped.abort();
            recorder.stop();
            open.forEach(deps.forget);
            logger.info("lotStopped", {
                lot: lotId,
                recorded: recorder.recorded(),
                total: entry.total,
                isHandedOver,
            });
        },
    };
}
