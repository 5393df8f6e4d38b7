import type { IncarnationId } from "./IncarnationId.js";

/**
 * A sidecar's word on an attempt. `neverSeen` leaves a tombstone, so that a late arrival is refused;
 * it is worth something only from the incarnation the attempt was sent to.
 */
export interface AttemptState {
    incarnation: IncarnationId;
    state: "neverSeen" | "refused" | "running" | "finished";
}
