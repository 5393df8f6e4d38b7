import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { chooseService } from "@auburnarch/routing/chooseService";
import { createBodyReader } from "@auburnarch/transport/createBodyReader";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { CallSampler } from "./CallSampler.js";
import { createSamplerRecords } from "./createSamplerRecords.js";
import { estimateWaitMs } from "./estimateWaitMs.js";
import { isInvalidAnswer } from "./isInvalidAnswer.js";
import type { RequestForwarderDeps } from "./RequestForwarderDeps.js";
import type { RoutedRequest } from "./RoutedRequest.js";
import type { SamplerAttemptOutcome } from "./SamplerAttemptOutcome.js";
import type { SamplerAttempts } from "./SamplerAttempts.js";
import type { SamplerRecord } from "./SamplerRecord.js";
import type { SamplerReply } from "./SamplerReply.js";
import type { UnansweredAttempts } from "./UnansweredAttempts.js";

type Answered = Extract<SamplerReply, { kind: "answered"; }>;

const latencySmoothing = 0.2;
/** Of all answers that are read completely before they are forwarded. */
const maxHeldBytes = 33_554_432;

const chunkOf = (whole: Uint8Array): AsyncIterable<Uint8Array> => ({
    async *[Symbol.asyncIterator]() {
        yield whole;
    },
});

/** Records a start time, made unique by adding fractions of a millisecond where two are equal. */
function recordStart(record: SamplerRecord, nowMs: number): number {
    let sentAtMs = nowMs;
    while (record.sentAtMs.has(sentAtMs)) {
        sentAtMs += 0.001;
    }
    record.sentAtMs.add(sentAtMs);
    return sentAtMs;
}

/** Creates the attempts of one process; what it learns about a sampler applies to all its requests. */
export function createSamplerAttempts(
    deps: RequestForwarderDeps,
    unanswered: UnansweredAttempts,
): SamplerAttempts {
    const { clock, random, logger, metrics, directory } = deps;
    const recordOf = createSamplerRecords();
    const readBody = createBodyReader(maxHeldBytes);

    /** Reads an answer completely, so that one that breaks off can be retried before any byte is forwarded. */
    async function readAnswer(answer: Answered): Promise<SamplerAttemptOutcome> {
        try {
            const whole = await readBody(answer.body);
            return { kind: "done", answer: { ...answer, body: chunkOf(whole) } };
        }
        catch (error) {
            const cause = codeOf(error);
            const code = isInvalidAnswer(cause) ? cause : resultCodes.connectionBroken;
            return { kind: "unknown", code, detail: error instanceof Error ? error.message : "cut short" };
        }
    }

    function recordEnd(
        sampler: RegisteredSampler,
        tried: SamplerAttemptOutcome,
        tookMs: number,
        isCancelled: boolean,
    ): void {
        const record = recordOf(sampler.incarnation);
        const result = tried.kind === "done" ? String(tried.answer.status) : tried.kind;
        metrics.observeMs("relay_try_ms", { service: sampler.service, result }, tookMs);
        if (tried.kind === "unknown" && isInvalidAnswer(tried.code)) {
            metrics.count("answers_spoiled_total", { service: sampler.service });
        }
        if (tried.kind === "done") {
            const before = record.latencyMs ?? tookMs;
            record.latencyMs = before + latencySmoothing * (tookMs - before);
        }
        else if (!isCancelled) {
            record.failedAtMs = clock.monotonicMs();
        }
        recordLiveness(sampler.incarnation, tried, isCancelled);
    }

    function recordLiveness(
        sampler: IncarnationId,
        tried: SamplerAttemptOutcome,
        isCancelled: boolean,
    ): void {
        const isUnconnected = tried.kind === "notRun" && tried.code === resultCodes.connectFailed;
        if (tried.kind === "done" || tried.kind === "notRun" && !isUnconnected) {
            unanswered.recordAnswer(sampler);
        }
        else if (isUnconnected && !isCancelled) {
            unanswered.recordFailure(sampler);
        }
    }

    /** Nobody awaits an attempt, so a call that rejects would end the process; whether it ran is unknown then. */
    async function call(...args: Parameters<CallSampler>): Promise<SamplerReply> {
        try {
            return await deps.callSampler(...args);
        }
        catch (error) {
            const detail = error instanceof Error ? error.message : String(error);
            logger.error("samplerCallRejected", { request: args[0].requestId, detail });
            return { kind: "unknown", code: resultCodes.internal, detail };
        }
    }

    function recordUnlistedAttempt(
        request: RoutedRequest,
        { incarnation, service }: RegisteredSampler,
    ): void {
        metrics.count("relay_unlisted_tries_total", { service });
        logger.info("unlistedSamplerTried", { request: request.requestId, sampler: incarnation });
    }

    return {
        pick: (request, tried) => {
            const admittedService = tried.size === 0 ? request.service : undefined;
            const service = admittedService ?? chooseService(request.route, random);
            if (service === undefined) {
                return undefined;
            }
            const nowMs = clock.monotonicMs();
            let best: RegisteredSampler | undefined;
            let bestMs = Infinity;
            for (const sampler of directory.serving(service)) {
                const record = recordOf(sampler.incarnation);
                const waitMs = estimateWaitMs(sampler, record, deps.failureDomain, nowMs);
                if (!tried.has(sampler.incarnation) && waitMs < bestMs) {
                    best = sampler;
                    bestMs = waitMs;
                }
            }
            return best;
        },
        run: async (request, sampler, budgetMs, signal) => {
            const record = recordOf(sampler.incarnation);
            if (!directory.isListed(sampler.incarnation)) {
                recordUnlistedAttempt(request, sampler);
            }
            const sentAtMs = recordStart(record, clock.monotonicMs());
            const { requestId, team, method, host, path, headers, body, route } = request;
            const sent = { sampler, requestId, team, method, host, path, headers, body, budgetMs };
            const reply = await call(sent, signal);
            let tried: SamplerAttemptOutcome;
            if (reply.kind !== "answered") {
                tried = reply;
            }
            else {
                tried = route.kind === "idempotent"
                    ? await readAnswer(reply)
                    : { kind: "done", answer: reply };
            }
            record.sentAtMs.delete(sentAtMs);
            recordEnd(sampler, tried, clock.monotonicMs() - sentAtMs, signal.aborted);
            return tried;
        },
    };
}
