import type { Clock } from "@auburnarch/types/Clock";

/** The time in which results are batched before they are recorded together. */
interface BatchingWindow {
    /** Resolves once the pause that started with this call is over; its length may change meanwhile. */
    wait(): Promise<void>;
    /** Reevaluates the pause, since a new result may leave nothing to wait for. */
    recheck(): void;
    /** Ends all pauses, current and later ones. */
    close(): void;
}

/** Resolution of timers; a shorter remaining pause would cause repeated wake-ups. */
const timerResolutionMs = 1;

/**
 * Creates a batching window. `pauseMs` returns the total time that results wait for others, given the time `waitedMs`
 * that they have waited so far.
 */
export function createBatchingWindow(clock: Clock, pauseMs: (waitedMs: number) => number): BatchingWindow {
    let isClosed = false;
    let change = new AbortController();

    function recheck(): void {
        change.abort();
        change = new AbortController();
    }

    return {
        wait: async () => {
            const sinceMs = clock.monotonicMs();
            for (;;) {
                const waitedMs = clock.monotonicMs() - sinceMs;
                const remainingMs = pauseMs(waitedMs) - waitedMs;
                if (remainingMs < timerResolutionMs || isClosed) {
                    return;
                }
                await clock.sleep(remainingMs, change.signal);
            }
        },
        recheck,
        close: () => {
            isClosed = true;
            recheck();
        },
    };
}
