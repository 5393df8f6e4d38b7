import type { IncarnationId } from "./IncarnationId.js";

/**
 * State of an attempt as a sidecar reports it. After `neverSeen` the sidecar keeps a tombstone, so that a late arrival
 * is refused. The state is valid only from the incarnation to which the attempt was sent.
 */
export interface AttemptState {
    incarnation: IncarnationId;
    state: "neverSeen" | "refused" | "running" | "finished";
}
