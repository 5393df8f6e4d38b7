import type { Quarantine } from "@auburnarch/admission/Quarantine";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { UnknownOutcomeError } from "@auburnarch/errors/UnknownOutcomeError";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import { createRetryBudget } from "@auburnarch/transport/createRetryBudget";
import type { SendGuards } from "@auburnarch/transport/SendGuards";
import { sendPlain } from "@auburnarch/transport/sendPlain";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Logger } from "@auburnarch/types/Logger";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { ServiceManifest } from "@auburnarch/types/ServiceManifest";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { CallerRequest } from "./CallerRequest.js";
import { choosePlainSampler } from "./choosePlainSampler.js";
import { digestRequest } from "./digestRequest.js";
import { isRepeatable } from "./isRepeatable.js";
import { notifyOnCleanEnd } from "./notifyOnCleanEnd.js";
import type { SamplerViews } from "./SamplerViews.js";

/** One attempt and two retries; further retries usually meet the same fault and only add load. */
const maxAttempts = 3;
const defaultRetryBudgetRatio = 0.1;
const notReadyRetryMs = 1_000;

type Execute = (signal: AbortSignal) => Promise<AttemptOutcome<PlainAnswer>>;

interface ServiceHandlerDeps {
    self: EntryRecord;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    manifest: () => Manifest | undefined;
    views: SamplerViews;
    quarantine: Pick<Quarantine, "isRefused" | "isSuspect" | "recordCleanFinish" | "trialDueInMs">;
    /** Reserves a queue place for a team's request or throws `queueFull`; the returned function releases it. */
    acquireTeamSlot: (team: TeamId) => () => void;
    guards?: SendGuards;
    /** Runs a non-idempotent request with a key at most once, here or at the entry that owns the key's range. */
    runKeyed: (
        request: CallerRequest,
        digest: ContentDigest,
        budgetMs: number,
        execute: Execute,
        signal: AbortSignal,
    ) => Promise<AttemptOutcome<PlainAnswer>>;
}

function toAnswer(outcome: AttemptOutcome<PlainAnswer>): PlainAnswer {
    if (outcome.kind === "ran") {
        return outcome.answer;
    }
    if (outcome.kind === "unknown") {
        throw new UnknownOutcomeError(outcome.code);
    }
    throw new ResultError(outcome.code, "", outcome.retryAfterMs);
}

/**
 * Creates the handler of callers' requests: it refuses those that cannot run, runs requests with an idempotency key at
 * most once and sends the others to samplers.
 */
export function createServiceHandler(
    deps: ServiceHandlerDeps,
): (request: CallerRequest, signal: AbortSignal) => Promise<PlainAnswer> {
    const { clock, logger, metrics, random } = deps;
    const retryBudget = createRetryBudget({
        clock,
        ratio: () => deps.manifest()?.limits.retryBudgetRatio ?? defaultRetryBudgetRatio,
    });

    function requireService(request: CallerRequest): ServiceManifest {
        const manifest = deps.manifest();
        if (manifest === undefined) {
            throw new ResultError(resultCodes.notReady, "no manifest yet", notReadyRetryMs);
        }
        const service = manifest.services.find(each => each.service === request.service);
        if (service === undefined) {
            throw new ResultError(resultCodes.unknownService, request.service);
        }
        return service;
    }

    function pickFor(
        request: CallerRequest,
        id: string,
        digest: ContentDigest,
    ): (tried: SamplerId[]) => SamplerId | undefined {
        return tried => {
            const views = deps.views.list(request.service);
            const choice = choosePlainSampler(views, tried, deps.self.failureDomain, random.nextUnit);
            logger.info("requestPlaced", {
                request: id,
                digest,
                service: request.service,
                team: request.team,
                sampler: choice?.sampler,
                candidates: choice?.candidates ?? 0,
                tried: tried.length,
                reason: choice?.reason ?? "noneAble",
                loadRatio: choice === undefined ? undefined : Number(choice.loadRatio.toFixed(3)),
            });
            return choice?.sampler;
        };
    }

    function createExecute(
        request: CallerRequest,
        idempotent: boolean,
        digest: ContentDigest,
        budgetMs: number,
    ): Execute {
        const id = random.nextId();
        const plainRequest: Omit<PlainRequest, "attempt"> = {
            service: request.service,
            team: request.team,
            method: request.method,
            path: request.path,
            headers: request.idempotencyKey === undefined
                ? request.headers
                : { ...request.headers, "idempotency-key": request.idempotencyKey },
            body: request.body,
            idempotent,
            digest,
            budgetMs,
        };
        const plainDeps = {
            pick: pickFor(request, id, digest),
            sidecar: deps.views.sidecar,
            newAttempt: () => random.nextId() as AttemptId,
            retryBudget,
            maxAttempts,
            clock,
            logger,
            guards: deps.guards,
        };
        return async signal => (await sendPlain(plainRequest, plainDeps, signal)).outcome;
    }

    /** Content that was in flight during a crash but ends cleanly this time did not cause the crash. */
    function clearSuspect(answer: PlainAnswer, digest: ContentDigest): PlainAnswer {
        if (!deps.quarantine.isSuspect(digest)) {
            return answer;
        }
        return {
            ...answer,
            body: notifyOnCleanEnd(answer.body, () => deps.quarantine.recordCleanFinish(digest)),
        };
    }

    return async (request, signal) => {
        const service = requireService(request);
        const digest = digestRequest(request);
        const trialDelayMs = deps.quarantine.isRefused(digest)
            ? deps.quarantine.trialDueInMs(digest, "request")
            : 0;
        if (trialDelayMs > 0) {
            throw new ResultError(resultCodes.quarantined, "", trialDelayMs);
        }
        const budgetMs = request.budgetMs ?? deps.manifest()!.limits.defaultDeadlineMs;
        const idempotent = request.idempotent ?? isRepeatable(service, request.method, request.path);
        const releaseSlot = deps.acquireTeamSlot(request.team);
        const startedAtMs = clock.monotonicMs();
        try {
            const execute = createExecute(request, idempotent, digest, budgetMs);
            const isKeyed = !idempotent && request.idempotencyKey !== undefined;
            const outcome = isKeyed
                ? await deps.runKeyed(request, digest, budgetMs, execute, signal)
                : await execute(signal);
            metrics.count("requests_total", { service: request.service, outcome: outcome.kind });
            return clearSuspect(toAnswer(outcome), digest);
        }
        finally {
            releaseSlot();
            metrics.observeMs("request_ms", { service: request.service }, clock.monotonicMs() - startedAtMs);
        }
    };
}
