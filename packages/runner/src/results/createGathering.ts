import type { Clock } from "@auburnarch/types/Clock";

/** The time in which results gather before they are recorded together. */
interface Gathering {
    /** Resolves once the pause since the call is over, as it stands then. */
    wait(): Promise<void>;
    /** Looks at the pause again: a result has come that may leave nothing to wait for. */
    look(): void;
    /** Nothing gathers any more. */
    end(): void;
}

/** Timers are no finer; a rest below it would be waited for again and again. */
const timerStepMs = 1;

/** Makes the gathering; `pauseMs` is how long results wait for others in all, of which they have waited `waitedMs`. */
export function createGathering(clock: Clock, pauseMs: (waitedMs: number) => number): Gathering {
    let isEnded = false;
    let news = new AbortController();

    function look(): void {
        news.abort();
        news = new AbortController();
    }

    return {
        wait: async () => {
            const sinceMs = clock.monotonicMs();
            for (;;) {
                const waitedMs = clock.monotonicMs() - sinceMs;
                const leftMs = pauseMs(waitedMs) - waitedMs;
                if (leftMs < timerStepMs || isEnded) {
                    return;
                }
                await clock.sleep(leftMs, news.signal);
            }
        },
        look,
        end: () => {
            isEnded = true;
            look();
        },
    };
}
