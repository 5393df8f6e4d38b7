import type { Logger } from "@auburnarch/types/Logger";

/** How an entry is served. Digests are SHA-256 in hex. */
export interface ServeEntryOptions {
    host: string;
    /** 0 lets the system choose. */
    port: number;
    logger: Logger;
    clusterTokenDigest: string;
    /** Accepted beside it while a new token is rolled out. */
    previousClusterTokenDigest?: string;
    operatorTokenDigest: string;
    /** Longest time in which a request must have arrived whole. */
    requestTimeoutMs: number;
    maxConnections: number;
    /** Bytes that the bodies of all requests in flight may take; the default is 256 MiB. */
    maxBodyPoolBytes?: number;
}
