import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { IncomingMessage, Server, ServerOptions } from "node:http";

/** How a gate is served over HTTP; bounds have defaults. */
export interface ServeSidecarOptions {
    /** 0 lets the system choose. */
    port: number;
    host: string;
    clock: Clock;
    logger: Logger;
    /** Text of `GET /metrics`; empty by default. */
    renderMetrics?: () => Promise<string>;
    /** SHA-256 in hex of the token that callers have to send; undefined lets everyone in. */
    clusterTokenDigest?: string;
    /** Accepted beside it while a new token is rolled out. */
    previousClusterTokenDigest?: string;
    /** Makes the server in place of Node's plain one, for TLS. */
    createServer?: (options: ServerOptions) => Server;
    /** Whether the other end is a process of the system by its certificate; undefined where there are none. */
    isPeer?: (request: IncomingMessage) => boolean;
    maxBodyBytes?: number;
    maxConnections?: number;
    /** A request has to arrive whole within this time. */
    requestTimeoutMs?: number;
    headersTimeoutMs?: number;
}
