import type { Clock } from "@auburnarch/types/Clock";
import { isStoreOutage } from "./isStoreOutage.js";
import type { PeerView } from "./PeerView.js";

interface StoreOutageMonitorDeps {
    /** How this runner reaches the store by its own calls. */
    storeReach: () => { silentMs: number; };
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
    const { clock, peers, storeReach } = deps;
    let outageAtMs: number | undefined;

    function check(): void {
        if (isStoreOutage(storeReach().silentMs, peers())) {
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
