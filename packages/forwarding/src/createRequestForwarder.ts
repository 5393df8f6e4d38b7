import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ContentGuard } from "./ContentGuard.js";
import { createBreakRegistry } from "./createBreakRegistry.js";
import { createContentGuard } from "./createContentGuard.js";
import { createLocalTrials } from "./createLocalTrials.js";
import { createSamplerAttempts } from "./createSamplerAttempts.js";
import { createUnansweredAttempts } from "./createUnansweredAttempts.js";
import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import type { RequestForwarder } from "./RequestForwarder.js";
import type { RequestForwarderDeps } from "./RequestForwarderDeps.js";
import { requestLimitMs } from "./requestLimitMs.js";
import type { RoutedRequest } from "./RoutedRequest.js";
import { startForwarding } from "./startForwarding.js";

/** The request with the time that it has left after it has waited for its admission. */
const afterWait = (request: RoutedRequest, waitedMs: number): RoutedRequest =>
    waitedMs === 0 ? request : { ...request, deadlineMs: Math.max(0, requestLimitMs(request) - waitedMs) };

/**
 * Creates the forwarder of plain requests. An idempotent request is retried on other samplers after a failure, and
 * hedged if an attempt is late; its answer is read completely before any byte is forwarded. Any other request is
 * retried only if it has certainly not run. A content whose attempts broke off is refused until its pause ends, and then
 * sent by one process at a time.
 */
export function createRequestForwarder(deps: RequestForwarderDeps): RequestForwarder {
    const { clock, logger } = deps;
    const unanswered = createUnansweredAttempts(deps);
    const tries = createSamplerAttempts(deps, unanswered);
    const breaks = deps.breaks ?? createBreakRegistry(clock, logger);
    const trials = deps.trials ?? createLocalTrials();
    const createGuard = deps.createGuard ?? (request => createContentGuard(breaks, trials, request));

    async function forward(
        request: RoutedRequest,
        content: ContentGuard,
        signal: AbortSignal,
    ): Promise<ForwardingOutcome> {
        const startedAtMs = clock.monotonicMs();
        const decision = await deps.admission?.admit(request, signal);
        if (decision?.kind === "refused") {
            return decision.outcome;
        }
        const permit = decision?.permit;
        const left = afterWait(request, clock.monotonicMs() - startedAtMs);
        const admitted = permit === undefined ? left : { ...left, service: permit.service };
        const outcome = await new Promise<ForwardingOutcome>(resolve =>
            startForwarding(deps, tries, unanswered, content, permit, admitted, signal, resolve)
        );
        return permit === undefined ? outcome : permit.finish(outcome);
    }

    return async (request, signal) => {
        const content = createGuard(request);
        const startedAtMs = clock.monotonicMs();
        const pauseMs = await content.admit(requestLimitMs(request));
        if (pauseMs > 0) {
            const code = resultCodes.contentPaused;
            logger.info("requestPaused", {
                request: request.requestId,
                code: code.number,
                pauseMs: Math.round(pauseMs),
                ...content.describe(),
            });
            return { kind: "failed", code, detail: "runs of this content broke off", retryAfterMs: pauseMs };
        }
        const left = afterWait(request, clock.monotonicMs() - startedAtMs);
        const outcome = await forward(left, content, signal);
        content.close();
        return outcome;
    };
}
