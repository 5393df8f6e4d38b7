import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

/** How a gate is served over HTTP; bounds have defaults. */
export interface ServeGateOptions {
    /** 0 lets the system choose. */
    port: number;
    host: string;
    clock: Clock;
    logger: Logger;
    /** SHA-256 in hex of the token that callers have to send; undefined lets everyone in. */
    clusterTokenDigest?: string;
    maxBodyBytes?: number;
    maxConnections?: number;
    /** A request has to arrive whole within this time. */
    requestTimeoutMs?: number;
    headersTimeoutMs?: number;
}
