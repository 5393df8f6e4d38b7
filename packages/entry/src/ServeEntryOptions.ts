import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { IncomingMessage, Server, ServerOptions } from "node:http";

/** Options of the HTTP server of an entry. Digests are SHA-256 in hex. */
export interface ServeEntryOptions {
    host: string;
    /** 0 selects a free port. */
    port: number;
    clock: Clock;
    logger: Logger;
    clusterTokenDigest: string;
    /** Also accepted while a new token is rolled out. */
    previousClusterTokenDigest?: string;
    operatorTokenDigest: string;
    /** Time limit for receiving a complete request. */
    requestTimeoutMs: number;
    maxConnections: number;
    /** Creates the server for TLS instead of Node's plain HTTP server. */
    createServer?: (options: ServerOptions) => Server;
    /** Whether the client certificate identifies a process of the system; undefined if there are no certificates. */
    isPeer?: (request: IncomingMessage) => boolean;
    /**
     * Limit in bytes for the bodies of all callers' requests in flight; a team may use at most half of it. Bodies from
     * peers have a separate limit of the same size. The default is 128 MiB.
     */
    maxBodyPoolBytes?: number;
}
