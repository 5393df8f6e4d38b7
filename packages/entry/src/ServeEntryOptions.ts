import type { Logger } from "@auburnarch/types/Logger";

/** How an entry is served. Digests are SHA-256 in hex. */
export interface ServeEntryOptions {
    host: string;
    /** 0 lets the system choose. */
    port: number;
    logger: Logger;
    clusterTokenDigest: string;
    operatorTokenDigest: string;
    /** Longest time in which a request must have arrived whole. */
    requestTimeoutMs: number;
    maxConnections: number;
}
