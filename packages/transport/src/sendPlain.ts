import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import { defaultSendGuards } from "./defaultSendGuards.js";
import type { PlainSendResult } from "./PlainSendResult.js";
import type { SendPlainDeps } from "./SendPlainDeps.js";

type Failure = Exclude<AttemptOutcome<PlainAnswer>, { kind: "ran"; }>;

/** Returned to the caller of an abandoned request if no sampler stated a delay. */
const defaultRetryAfterMs = 1_000;

/** A content that crashed this many samplers is not retried: it could crash all of them in quick succession. */
const maxCrashes = 2;

/** Refusals that concern the request itself; another sampler would refuse it too. */
const finalCodes = new Set<ResultCode>([
    resultCodes.badRequest,
    resultCodes.bodyTooLarge,
    resultCodes.quarantined,
    resultCodes.deadlinePassed,
    resultCodes.unknownService,
]);

/**
 * Sends a plain request; the only layer that retries. A request that did not run is retried on another sampler, one
 * that may have run only if it is idempotent, in both cases within the retry budget and the deadline. Nothing is
 * retried once a response has begun. If any attempt may have run, the final outcome is never `notRun`, whatever later
 * attempts returned.
 */
export async function sendPlain(
    request: Omit<PlainRequest, "attempt">,
    deps: SendPlainDeps,
    signal: AbortSignal,
): Promise<PlainSendResult> {
    const { clock } = deps;
    const guards = deps.guards ?? defaultSendGuards;
    const deadlineMs = clock.monotonicMs() + request.budgetMs;
    const tried: SamplerId[] = [];
    let firstUnknown: Failure | undefined;
    let crashes = 0;
    let lastFailure: Failure = notRun(resultCodes.deadlinePassed);
    deps.retryBudget.recordFirstAttempt();

    const abandon = (reason: string): PlainSendResult => {
        const outcome = firstUnknown ?? withRetryAfter(lastFailure);
        deps.logger.info("requestGivenUp", {
            service: request.service,
            team: request.team,
            outcome: outcome.kind,
            code: outcome.code.number,
            attempts: tried.length,
            reason,
        });
        return { outcome, tried };
    };

    for (;;) {
        const leftMs = deadlineMs - clock.monotonicMs();
        if (leftMs <= 0) {
            lastFailure = notRun(resultCodes.deadlinePassed);
            return abandon("deadline");
        }
        const sampler = deps.pick(tried);
        if (sampler === undefined) {
            lastFailure = tried.length === 0 ? notRun(resultCodes.noSampler) : lastFailure;
            return abandon("noSampler");
        }
        tried.push(sampler);
        const sent = { ...request, attempt: deps.newAttempt(), budgetMs: leftMs };
        const outcome = await deps.sidecar(sampler).callPlain(sent, signal);
        if (outcome.kind === "ran") {
            return { outcome, tried };
        }
        lastFailure = outcome;
        if (outcome.kind === "unknown") {
            firstUnknown ??= outcome;
        }
        const reason = stopReason(outcome);
        if (reason !== undefined) {
            return abandon(reason);
        }
    }

    function stopReason(outcome: Failure): string | undefined {
        if (signal.aborted) {
            return "callerGone";
        }
        if (outcome.kind === "unknown" && !guards.repeatUnknown(request.idempotent)) {
            return "mayHaveRun";
        }
        if (finalCodes.has(outcome.code)) {
            return "final";
        }
        if (outcome.code === resultCodes.engineCrashed && ++crashes >= maxCrashes) {
            return "killsSamplers";
        }
        if (tried.length >= deps.maxAttempts) {
            return "maxAttempts";
        }
        return deps.retryBudget.tryTake() ? undefined : "retryBudget";
    }
}

function notRun(code: ResultCode): Failure {
    return { kind: "notRun", code, retryAfterMs: undefined };
}

function withRetryAfter(failure: Failure): Failure {
    return failure.kind === "notRun"
        ? { ...failure, retryAfterMs: failure.retryAfterMs ?? defaultRetryAfterMs }
        : failure;
}
