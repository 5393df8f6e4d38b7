/** A sampler's answer to an order. After `unknown` the order may have been accepted, or may be carried out later. */
export type OrderOutcome = "accepted" | "alreadyHolds" | "busyOrMoved" | "fenced" | "refused" | "unknown";
