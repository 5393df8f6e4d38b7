import type { RoleCounts } from "./RoleCounts.js";

/** Role of the caller; the bytes of a call are counted at both ends. */
type Role = "entry" | "sidecar";

/** Handles a message received over the network. */
type Handler = (message: unknown) => unknown;

/** A simulated network between processes that counts calls and bytes. */
export interface FleetNetwork {
    listen(address: string, region: string, handlers: Record<string, Handler>): void;
    remove(address: string): void;
    call(
        from: { role: Role; region: string; },
        address: string,
        method: string,
        message: unknown,
    ): Promise<unknown>;
    slow(address: string, latencyMs: number): void;
    cutRegions(cut: boolean): void;
    counts: { entry: RoleCounts; sidecar: RoleCounts; };
    resetCounts(): void;
}
