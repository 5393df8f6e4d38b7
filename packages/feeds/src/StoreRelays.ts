import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";

interface ChosenRelay {
    name: string;
    address: RunnerAddress;
}

/** The runners that may relay store calls of one process. */
export interface StoreRelays {
    /** Resolves with the runner to use now; undefined while none reports that the store answers it. */
    choose(): Promise<ChosenRelay | undefined>;
    /** Records that a runner relayed a call and the store answered. */
    confirm(name: string): void;
    /** Excludes a runner for some time. */
    drop(name: string, excludeMs: number, reason: string): void;
    /** Whether a chosen runner has recently shown that the store answers it. */
    isUsable(): boolean;
    /** Milliseconds since a chosen runner last showed that; infinite if none has. */
    sinceConfirmedMs(): number;
}
