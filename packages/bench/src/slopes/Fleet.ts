import type { FakeClock } from "@auburnarch/clock/FakeClock";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import type { RoleCounts } from "./RoleCounts.js";

/** A fleet of real components on a simulated network. */
export interface Fleet {
    clock: FakeClock;
    store: FakeStoreControl;
    counts: { entry: RoleCounts; sidecar: RoleCounts; };
    resetCounts(): void;
    /** Publishes a manifest that differs from the last in one job; resolves with its version. */
    publish(): Promise<number>;
    /** Processes with a lower manifest version than `version`. */
    behind(version: number): { entries: number; sidecars: number; };
    /** Entries that each entry knows and trusts, the least and the most over all. */
    peersKnown(): { least: number; most: number; };
    suspicions(): number;
    /** Addresses of the entries that watch the object API at present. */
    relays(): string[];
    /** Stops the entry at an address for good. */
    kill(address: string): void;
    /** Entries that know and trust the one at an address. */
    countEntriesTrusting(address: string): number;
    /** Adds to the latency of all calls to an address. */
    slow(address: string, latencyMs: number): void;
    cutRegions(cut: boolean): void;
    stop(): void;
}
