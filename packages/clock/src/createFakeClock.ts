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

/** Makes a fake clock that starts at `startWallMs` (wall) and 0 (monotonic). Timers are kept in a binary heap. */
export function createFakeClock(startWallMs = 1_700_000_000_000): FakeClock {
    let nowMs = 0;
    let order = 0;
    let live = 0;
    const heap: Timer[] = [];

    function push(timer: Timer): void {
        heap.push(timer);
        let at = heap.length - 1;
        while (at > 0) {
            const parent = (at - 1) >> 1;
            if (!comesBefore(heap[at]!, heap[parent]!)) {
                break;
            }
            [heap[at], heap[parent]] = [heap[parent]!, heap[at]!];
            at = parent;
        }
    }

    function pop(): Timer {
        const top = heap[0]!;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return top;
        }
        heap[0] = last;
        let at = 0;
        for (;;) {
            const left = 2 * at + 1;
            const right = left + 1;
            let least = at;
            if (left < heap.length && comesBefore(heap[left]!, heap[least]!)) {
                least = left;
            }
            if (right < heap.length && comesBefore(heap[right]!, heap[least]!)) {
                least = right;
            }
            if (least === at) {
                return top;
            }
            [heap[at], heap[least]] = [heap[least]!, heap[at]!];
            at = least;
        }
    }

    function dropCancelled(): void {
        while (heap.length > 0 && heap[0]!.run === undefined) {
            pop();
        }
    }

    function startTimer(delayMs: number, run: () => void): () => void {
        const timer: Timer = { atMs: nowMs + Math.max(0, delayMs), order: order++, run };
        live++;
        push(timer);
        return () => {
            if (timer.run !== undefined) {
                timer.run = undefined;
                live--;
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
        live--;
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
        pendingTimers: () => live,
    };
}
