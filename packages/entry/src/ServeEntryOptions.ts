import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { IncomingMessage, Server, ServerOptions } from "node:http";

/** How an entry is served. Digests are SHA-256 in hex. */
export interface ServeEntryOptions {
    host: string;
    /** 0 lets the system choose. */
    port: number;
    clock: Clock;
    logger: Logger;
    clusterTokenDigest: string;
    /** Accepted beside it while a new token is rolled out. */
    previousClusterTokenDigest?: string;
    operatorTokenDigest: string;
    /** Longest time in which a request must have arrived whole. */
    requestTimeoutMs: number;
    maxConnections: number;
    /** Makes the server in place of Node's plain one, for TLS. */
    createServer?: (options: ServerOptions) => Server;
    /** Whether the other end is a process of the system by its certificate; undefined where there are none. */
    isPeer?: (request: IncomingMessage) => boolean;
    /**
     * Bytes that the bodies of all callers' requests in flight may take, a team's at most half of it; those of peers may
     * take as much again. The default is 128 MiB.
     */
    maxBodyPoolBytes?: number;
}
