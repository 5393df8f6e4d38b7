import { createSleep } from "./createSleep.js";
import type { FakeClock } from "./FakeClock.js";

interface Timer {
    atMs: number;
    order: number;
    run: (() => void) | undefined;
}

const comesBefore = (a: Timer, b: Timer): boolean =>
    a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Creates a fake clock that starts at `startWallMs` (wall) and 0 (monotonic). Timers are stored in a binary heap. */
export function createFakeClock(startWallMs = 1_700_000_000_000): FakeClock {
    let nowMs = 0;
    let order = 0;
    let pendingCount = 0;
    const heap: Timer[] = [];

    function push(timer: Timer): void {
        heap.push(timer);
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!comesBefore(heap[index]!, heap[parent]!)) {
                break;
            }
            [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
            index = parent;
        }
    }

    function pop(): Timer {
        const top = heap[0]!;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return top;
        }
        heap[0] = last;
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let least = index;
            if (left < heap.length && comesBefore(heap[left]!, heap[least]!)) {
                least = left;
            }
            if (right < heap.length && comesBefore(heap[right]!, heap[least]!)) {
                least = right;
            }
            if (least === index) {
                return top;
            }
            [heap[index], heap[least]] = [heap[least]!, heap[index]!];
            index = least;
        }
    }

    function dropCancelled(): void {
        while (heap.length > 0 && heap[0]!.run === undefined) {
            pop();
        }
    }

    function startTimer(delayMs: number, run: () => void): () => void {
        const timer: Timer = { atMs: nowMs + Math.max(0, delayMs), order: order++, run };
        pendingCount++;
        push(timer);
        return () => {
            if (timer.run !== undefined) {
                timer.run = undefined;
                pendingCount--;
            }
        };
    }

    async function fireNext(limitMs: number): Promise<boolean> {
        dropCancelled();
        const next = heap[0];
        if (next === undefined || next.atMs > limitMs) {
            return false;
        }
        pop();
        nowMs = Math.max(nowMs, next.atMs);
        const run = next.run!;
        next.run = undefined;
        pendingCount--;
        run();
        await nextTurn();
        return true;
    }

    async function runUntil(done: () => boolean, limitMs: number): Promise<boolean> {
        const endMs = nowMs + limitMs;
        await nextTurn();
        while (!done()) {
            if (!await fireNext(endMs)) {
                nowMs = endMs;
                return done();
            }
        }
        return true;
    }

    return {
        monotonicMs: () => nowMs,
        wallMs: () => startWallMs + nowMs,
        startTimer,
        sleep: createSleep(startTimer),
        advance: async ms => {
            await runUntil(() => false, ms);
        },
        runUntil,
        pendingTimers: () => pendingCount,
    };
}
