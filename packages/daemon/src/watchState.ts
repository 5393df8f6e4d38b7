import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { Clock } from "@auburnarch/types/Clock";

const pollIntervalMs = 250;

/**
 * Calls `onChange` soon after a gate's state, or what its engine serves, has changed: entries that heard of it only
 * with the next usual report would send it work for seconds that it refuses. The returned function ends that.
 */
export function watchState(gate: Sidecar, clock: Clock, onChange: () => void): () => void {
    const stopped = new AbortController();

    function describe(): string {
        const { state, served, configVersion } = gate.report();
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
