import type { RouteBackend } from "./RouteBackend.js";
import type { RouteKind } from "./RouteKind.js";

/** A route of the configuration in force. */
export interface Route {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RouteKind;
    /** A stream that broke off may go on at another sampler behind its last event. */
    isResumable: boolean;
    /** Longest that a request may be kept waiting; undefined where the operator sets none. */
    timeoutMs: number | undefined;
    /** An answer within this time is worth the most. */
    targetLatencyMs: number | undefined;
    backends: RouteBackend[];
    /** Samplers that one request may be sent to at most. */
    maxAttempts: number;
    /** Batch jobs: results are due this long after the job was submitted. */
    deadlineMs: number | undefined;
    /** Batch jobs: an item may be given up this long after the job was submitted. */
    itemTtlMs: number | undefined;
    /** Callers need no key. */
    allowsAnonymous: boolean;
    /** Rank of its requests, 0 first; undefined where the operator sets none. */
    priority: number | undefined;
    /** Batch jobs: all tokens of an item have to come from one weight version. */
    isSingleVersion: boolean;
}
