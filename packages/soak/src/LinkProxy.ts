import type { LinkMode } from "./LinkMode.js";
import type { LinkUse } from "./LinkUse.js";

/** A loopback proxy between two processes. */
export interface LinkProxy {
    port: number;
    mode(): LinkMode;
    setMode(mode: LinkMode): void;
    /** Every use by the caller, whatever the mode, oldest first. */
    uses(): LinkUse[];
    close(): void;
}
