import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createBreakRegistry } from "./createBreakRegistry.js";
import { createContentGuard } from "./createContentGuard.js";
import { createSamplerAttempts } from "./createSamplerAttempts.js";
import type { RequestForwarder } from "./RequestForwarder.js";
import type { RequestForwarderDeps } from "./RequestForwarderDeps.js";
import { startForwarding } from "./startForwarding.js";

/**
 * Creates the forwarder of plain requests. An idempotent request is retried on other samplers after a failure, and
 * hedged if an attempt is late; its answer is read completely before any byte is forwarded. Any other request is
 * retried only if it has certainly not run. A content whose attempts broke off is refused until its pause ends.
 */
export function createRequestForwarder(deps: RequestForwarderDeps): RequestForwarder {
    const tries = createSamplerAttempts(deps);
    const breaks = deps.breaks ?? createBreakRegistry(deps.clock);
    return async (request, signal) => {
        const content = createContentGuard(breaks, request);
        const pauseMs = content.pauseMs();
        if (pauseMs > 0) {
            const code = resultCodes.contentPaused;
            deps.logger.info("requestPaused", {
                request: request.requestId,
                code: code.number,
                pauseMs: Math.round(pauseMs),
                ...content.describe(),
            });
            return { kind: "failed", code, detail: "runs of this content broke off", retryAfterMs: pauseMs };
        }
        return new Promise(resolve => startForwarding(deps, tries, content, request, signal, resolve));
    };
}
