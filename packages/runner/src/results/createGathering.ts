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

/** Makes the gathering; `pauseMs` is how long results wait for others, as of now. */
export function createGathering(clock: Clock, pauseMs: () => number): Gathering {
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
                const leftMs = sinceMs + pauseMs() - clock.monotonicMs();
                if (leftMs <= 0 || isEnded) {
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
