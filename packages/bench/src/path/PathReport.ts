import type { Failures } from "./Failures.js";

/** Latency of one way at a fixed rate, in milliseconds. */
interface RouteLatency {
    requests: number;
    failures: Failures;
    p50Ms: number;
    p99Ms: number;
}

/** What one process of the path used during a phase. */
interface ProcessUse {
    /** Processor time as a part of one core. */
    coreShare: number;
    residentMegabytes: number;
}

/** Figures of one run of `bench path`. Direct is the same stand-in without entry and sidecar. */
export interface PathReport {
    plainAtRate: {
        requestsPerSecond: number;
        direct: RouteLatency;
        through: RouteLatency;
        addedP50Ms: number;
        addedP99Ms: number;
    };
    plainFlatOut: {
        connections: number;
        directPerSecond: number;
        throughPerSecond: number;
        throughputRatio: number;
        failures: Failures;
    };
    streamed: {
        streams: number;
        directTokensPerSecond: number;
        throughTokensPerSecond: number;
        tokenRatio: number;
        failures: Failures;
    };
    /** By role and phase; `idle` is a phase without requests. */
    processes: Record<string, Record<"idle" | "atRate" | "flatOut" | "streamed", ProcessUse>>;
}
