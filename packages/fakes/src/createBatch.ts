import type { Clock } from "@auburnarch/types/Clock";
import type { BatchItem } from "./BatchItem.js";

interface BatchOptions {
    clock: Clock;
    /** Slowdown of all items for each additional one: speed is 1 / (1 + slowdown × (items − 1)). */
    slowdown: number;
    /** Interval between calls of `onProgress`. */
    progressMs: number;
}

interface Batch {
    add(item: BatchItem): void;
    remove(item: BatchItem): void;
    /** Updates `doneMs` and `engineMs` of all items to the current time. */
    settle(): void;
    setPaused(paused: boolean): void;
    items(): BatchItem[];
    busyMs(): number;
}

const toleranceMs = 1e-6;

/**
 * Shares one processor among items without a timer per token: between two changes of the set all items run at the same
 * speed, so one timer for the next completion or progress call is enough.
 */
export function createBatch(options: BatchOptions): Batch {
    const { clock, slowdown, progressMs } = options;
    const items = new Set<BatchItem>();
    let settledAtMs = clock.monotonicMs();
    let progressAtMs = Number.POSITIVE_INFINITY;
    let busyMs = 0;
    let paused = false;
    let cancelTimer = (): void => {};

    const speed = (): number => 1 / (1 + slowdown * (items.size - 1));

    function settle(): void {
        const nowMs = clock.monotonicMs();
        const elapsedMs = nowMs - settledAtMs;
        settledAtMs = nowMs;
        if (paused || items.size === 0 || elapsedMs <= 0) {
            return;
        }
        busyMs += elapsedMs;
        for (const item of items) {
            item.doneMs = Math.min(item.totalMs, item.doneMs + elapsedMs * speed());
            item.engineMs += elapsedMs / items.size;
        }
    }

    function schedule(): void {
        cancelTimer();
        cancelTimer = () => {};
        if (paused || items.size === 0) {
            return;
        }
        const nowMs = clock.monotonicMs();
        let leastRemainingMs = Number.POSITIVE_INFINITY;
        for (const item of items) {
            leastRemainingMs = Math.min(leastRemainingMs, item.totalMs - item.doneMs);
        }
        const untilEndMs = Math.max(0, leastRemainingMs) / speed();
        const untilProgressMs = Math.max(0, progressAtMs - nowMs);
        cancelTimer = clock.startTimer(Math.min(untilEndMs, untilProgressMs), tick);
    }

    function tick(): void {
        settle();
        const nowMs = clock.monotonicMs();
        if (nowMs >= progressAtMs) {
            progressAtMs = nowMs + progressMs;
            [...items].forEach(item => item.onProgress());
        }
        const done = [...items].filter(item => item.doneMs + toleranceMs >= item.totalMs);
        done.forEach(item => items.delete(item));
        done.forEach(item => item.onDone());
        schedule();
    }

    return {
        add: item => {
            settle();
            if (items.size === 0) {
                progressAtMs = clock.monotonicMs() + progressMs;
            }
            items.add(item);
            schedule();
        },
        remove: item => {
            settle();
            items.delete(item);
            schedule();
        },
        settle,
        setPaused: isPaused => {
            settle();
            paused = isPaused;
            schedule();
        },
        items: () => [...items],
        busyMs: () => {
            settle();
            return busyMs;
        },
    };
}
