import type { LinkMode } from "./LinkMode.js";

/** A loopback proxy between two processes. */
export interface LinkProxy {
    port: number;
    mode(): LinkMode;
    setMode(mode: LinkMode): void;
    close(): void;
}
