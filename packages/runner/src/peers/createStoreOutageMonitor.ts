import type { Clock } from "@auburnarch/types/Clock";
import { isStoreOutage } from "./isStoreOutage.js";
import type { PeerView } from "./PeerView.js";

interface StoreOutageMonitorDeps {
    /** Milliseconds since the first of the calls that have all failed since; 0 while calls succeed. */
    storeSilentMs: () => number;
    peers: () => PeerView[];
    clock: Clock;
}

interface StoreOutageMonitor {
    /** Milliseconds since the latest outage, or 0 while it lasts; undefined if there was none. */
    sinceOutageMs(): number | undefined;
    stop(): void;
}

const checkMs = 200;

/** Tells outages of the store from the times at which only this runner had lost it. */
export function createStoreOutageMonitor(deps: StoreOutageMonitorDeps): StoreOutageMonitor {
    const { clock, peers, storeSilentMs } = deps;
    let outageAtMs: number | undefined;

    function check(): void {
        if (isStoreOutage(storeSilentMs(), peers())) {
            outageAtMs = clock.monotonicMs();
        }
        cancel = clock.startTimer(checkMs, check);
    }

    let cancel = clock.startTimer(checkMs, check);
    return {
        sinceOutageMs: () => outageAtMs === undefined ? undefined : clock.monotonicMs() - outageAtMs,
        stop: () => cancel(),
    };
}
