import type { FakeClock } from "@auburnarch/clock/FakeClock";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import type { RoleCounts } from "./RoleCounts.js";

/** A fleet of real control components on a simulated network. */
export interface Fleet {
    clock: FakeClock;
    store: FakeStoreControl;
    counts: { entry: RoleCounts; sidecar: RoleCounts; };
    resetCounts(): void;
    /** Publishes a manifest that differs from the last one in one job; resolves with its version. */
    publish(): Promise<number>;
    /** Number of processes whose manifest version is lower than `version`. */
    behind(version: number): { entries: number; sidecars: number; };
    /** Number of entries that an entry knows and trusts: minimum and maximum over all entries. */
    peersKnown(): { least: number; most: number; };
    suspicions(): number;
    /** Addresses of the entries that currently watch the object API. */
    relays(): string[];
    /** Stops the entry at an address permanently. */
    kill(address: string): void;
    /** Number of entries that know and trust the one at an address. */
    countEntriesTrusting(address: string): number;
    /** Adds to the latency of all calls to an address. */
    slow(address: string, latencyMs: number): void;
    cutRegions(cut: boolean): void;
    stop(): void;
}
