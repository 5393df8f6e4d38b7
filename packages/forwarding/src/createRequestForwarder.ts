import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createBreakRegistry } from "./createBreakRegistry.js";
import { createContentGuard } from "./createContentGuard.js";
import { createSamplerAttempts } from "./createSamplerAttempts.js";
import type { RequestForwarder } from "./RequestForwarder.js";
import type { RequestForwarderDeps } from "./RequestForwarderDeps.js";
import { startForwarding } from "./startForwarding.js";

/**
 * Makes the relay of plain requests. An idempotent request is tried at other samplers after a failure, and beside a
 * try that is late, and its answer is checked to be whole before a byte goes on. Any other request is tried again
 * only if it has certainly not run. A content that broke off wherever it ran is refused until it may be tried again.
 */
export function createRequestForwarder(deps: RequestForwarderDeps): RequestForwarder {
    const tries = createSamplerAttempts(deps);
    const breaks = deps.breaks ?? createBreakRegistry(deps.clock);
    return async (request, signal) => {
        const content = createContentGuard(breaks, request);
        const pauseMs = content.pauseMs();
        if (pauseMs > 0) {
            const code = resultCodes.contentPaused;
            deps.logger.info("requestPaused", { request: request.requestId, code: code.number, pauseMs });
            return { kind: "failed", code, detail: "runs of this content broke off", retryAfterMs: pauseMs };
        }
        return new Promise(resolve => startForwarding(deps, tries, content, request, signal, resolve));
    };
}
