import type { RelayOutcome } from "./RelayOutcome.js";
import type { RelayRequest } from "./RelayRequest.js";

/** Carries one request to a sampler of its route. Never rejects; aborting the signal cancels it at the samplers. */
export type Relay = (request: RelayRequest, signal: AbortSignal) => Promise<RelayOutcome>;
