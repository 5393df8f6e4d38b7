import type { Clock } from "@auburnarch/types/Clock";

/** The time in which results gather before they are recorded together. */
interface BatchingWindow {
    /** Resolves once the pause since the call is over, as it stands then. */
    wait(): Promise<void>;
    /** Looks at the pause again: a result has come that may leave nothing to wait for. */
    recheck(): void;
    /** Nothing gathers any more. */
    close(): void;
}

/** Timers are no finer; a rest below it would be waited for again and again. */
const timerResolutionMs = 1;

/** Makes the gathering; `pauseMs` is how long results wait for others in all, of which they have waited `waitedMs`. */
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
