import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { IncomingMessage, Server, ServerOptions } from "node:http";

/** Options for serving a sidecar over HTTP; limits have defaults. */
export interface ServeSidecarOptions {
    /** 0 lets the operating system choose. */
    port: number;
    host: string;
    clock: Clock;
    logger: Logger;
    /** Response to `GET /metrics`; empty by default. */
    renderMetrics?: () => Promise<string>;
    /** SHA-256 in hex of the token that callers must send; undefined accepts all callers. */
    clusterTokenDigest?: string;
    /** Digest of a token that is also accepted while a new one is rolled out. */
    previousClusterTokenDigest?: string;
    /** Creates the server in place of Node's plain one, for TLS. */
    createServer?: (options: ServerOptions) => Server;
    /** Whether the client is a process of the system according to its certificate; undefined without certificates. */
    isPeer?: (request: IncomingMessage) => boolean;
    maxBodyBytes?: number;
    maxConnections?: number;
    /** Time within which a request must arrive completely. */
    requestTimeoutMs?: number;
    headersTimeoutMs?: number;
}
