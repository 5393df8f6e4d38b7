/**
 * The kind of a route's requests: `idempotent` ones may run more than once, `nonIdempotent` ones at most once,
 * `stream` is answered with a stream of events, `rollout` accepts batch jobs.
 */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream" | "rollout";
