import { createSamplerTries } from "./createSamplerTries.js";
import type { Relay } from "./Relay.js";
import type { RelayDeps } from "./RelayDeps.js";
import { startRelayCall } from "./startRelayCall.js";

/**
 * Makes the relay of plain requests. An idempotent request is tried at other samplers after a failure, and beside a
 * try that is late, and its answer is checked to be whole before a byte goes on. Any other request is tried again
 * only if it has certainly not run.
 */
export function createRelay(deps: RelayDeps): Relay {
    const tries = createSamplerTries(deps);
    return (request, signal) => new Promise(resolve => startRelayCall(deps, tries, request, signal, resolve));
}
