import type { Clock } from "@auburnarch/types/Clock";
import { isStoreAwayForAll } from "./isStoreAwayForAll.js";
import type { PeerView } from "./PeerView.js";

interface StoreAbsenceDeps {
    /** Milliseconds since the first of the calls that have all failed since; 0 while calls succeed. */
    storeSilentMs: () => number;
    peers: () => PeerView[];
    clock: Clock;
}

interface StoreAbsence {
    /**
     * Milliseconds since the store was last away for this runner and its peers; undefined if it has been there for one of
     * them all the while.
     */
    awayMs(): number | undefined;
    stop(): void;
}

const checkMs = 200;

/** Notes when the store was away, as told from the times at which only this runner had lost it. */
export function createStoreAbsence(deps: StoreAbsenceDeps): StoreAbsence {
    const { clock, peers, storeSilentMs } = deps;
    let awayAtMs: number | undefined;

    function check(): void {
        if (isStoreAwayForAll(storeSilentMs(), peers())) {
            awayAtMs = clock.monotonicMs();
        }
        cancel = clock.startTimer(checkMs, check);
    }

    let cancel = clock.startTimer(checkMs, check);
    return {
        awayMs: () => awayAtMs === undefined ? undefined : clock.monotonicMs() - awayAtMs,
        stop: () => cancel(),
    };
}
