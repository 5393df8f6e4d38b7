import type { LinkMode } from "./LinkMode.js";

/** A loopback proxy on the way from one process to another. */
export interface LinkProxy {
    port: number;
    mode(): LinkMode;
    setMode(mode: LinkMode): void;
    close(): void;
}
