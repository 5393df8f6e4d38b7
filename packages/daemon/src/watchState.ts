import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { Clock } from "@auburnarch/types/Clock";

const pollIntervalMs = 250;

/**
 * Calls `onChange` soon after a sidecar's state or the served versions have changed. If entries received the change
 * only with the next regular report, they would send work for seconds that the sidecar refuses. The returned function
 * stops the watch.
 */
export function watchState(sidecar: Sidecar, clock: Clock, onChange: () => void): () => void {
    const stopped = new AbortController();

    function describe(): string {
        const { state, served, configVersion } = sidecar.report();
        return JSON.stringify({ state, served, configVersion });
    }

    async function watch(): Promise<void> {
        let before = describe();
        while (!stopped.signal.aborted) {
            await clock.sleep(pollIntervalMs, stopped.signal);
            const now = describe();
            if (now !== before) {
                before = now;
                onChange();
            }
        }
    }

    void watch();
    return () => stopped.abort();
}
