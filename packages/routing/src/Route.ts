import type { RouteBackend } from "./RouteBackend.js";
import type { RouteKind } from "./RouteKind.js";

/** A route of the active configuration. */
export interface Route {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RouteKind;
    /** An interrupted stream may continue on another sampler after its last event. */
    isResumable: boolean;
    /** Longest that a request may wait; undefined if the operator sets none. */
    timeoutMs: number | undefined;
    /** Target for the time to the answer: answers within it have the highest value. */
    targetLatencyMs: number | undefined;
    backends: RouteBackend[];
    /** Maximum number of samplers that one request is sent to. */
    maxAttempts: number;
    /** Batch jobs: results are due this long after the job was submitted. */
    deadlineMs: number | undefined;
    /** Batch jobs: an item may be abandoned this long after the job was submitted. */
    itemTtlMs: number | undefined;
    /** Callers need no key. */
    allowsAnonymous: boolean;
    /** Priority of its requests, 0 is the highest; undefined if the operator sets none. */
    priority: number | undefined;
    /** Batch jobs: all tokens of an item must come from one weight version. */
    isSingleVersion: boolean;
}
