/**
 * What a route's requests are: `idempotent` ones may run more than once, `nonIdempotent` ones at most once, `stream`
 * is answered by events as they are made, `rollout` takes batch jobs.
 */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream" | "rollout";
