import type { Failures } from "./Failures.js";

/** Latency of one route at a fixed rate, in milliseconds. */
interface RouteLatency {
    requests: number;
    failures: Failures;
    p50Ms: number;
    p99Ms: number;
}

/** Resource usage of one process during a phase. */
interface ProcessUse {
    /** Processor time as a fraction of one core. */
    coreShare: number;
    residentMegabytes: number;
}

/** Results of one run of `bench path`. `direct` calls the same fake backend server without entry and sidecar. */
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
    /** Usage by role and phase; `idle` is a phase without requests. */
    processes: Record<string, Record<"idle" | "atRate" | "flatOut" | "streamed", ProcessUse>>;
}
