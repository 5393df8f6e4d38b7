import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import type { RoutedRequest } from "./RoutedRequest.js";

/** Forwards a request to a sampler of its route. Never rejects; aborting the signal cancels it at the samplers. */
export type RequestForwarder = (request: RoutedRequest, signal: AbortSignal) => Promise<ForwardingOutcome>;
