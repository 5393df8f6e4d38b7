import type { RoleCounts } from "./RoleCounts.js";

/** Who calls; the bytes of a call count for both its ends. */
type Role = "entry" | "sidecar";

/** Handles a message that came over the wire. */
type Handler = (message: unknown) => unknown;

/** A network of processes that counts messages and bytes. */
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
