import type { Clock } from "@auburnarch/types/Clock";
import { isStoreOutage } from "./isStoreOutage.js";
import type { PeerView } from "./PeerView.js";

interface StoreOutageMonitorDeps {
    /** Milliseconds since the first of the consecutive failed calls; 0 while calls succeed. */
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

/** Distinguishes outages of the store from times at which only this runner cannot reach it. */
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
