import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { CallSampler } from "@auburnarch/forwarding/CallSampler";
import { isInvalidAnswer } from "@auburnarch/forwarding/isInvalidAnswer";
import type { SamplerReply } from "@auburnarch/forwarding/SamplerReply";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Route } from "@auburnarch/routing/Route";
import { readFullBody } from "@auburnarch/transport/readFullBody";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { ItemRun } from "./ItemRun.js";
import type { ReadItemEvents } from "./ReadItemEvents.js";
import type { SamplerHealth } from "./SamplerHealth.js";

interface ItemSidecarDeps {
    findRun: (item: SampleId) => ItemRun | undefined;
    /** The route of an item's path in the current configuration. */
    findRoute: (run: ItemRun) => Route | undefined;
    /** Whether the current configuration sends an item to a service. */
    mayRunAt: (run: ItemRun, service: ServiceId) => boolean;
    findSampler: (sampler: SamplerId) => RegisteredSampler | undefined;
    callSampler: CallSampler;
    readEvents: ReadItemEvents;
    samplerHealth: SamplerHealth;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}

type RunSample = SidecarPort["runSample"];
type Ended = AttemptOutcome<SampleAnswer>;

/** Time limit of one run; far above the longest item, since a slow run is moved rather than cut off. */
const runBudgetMs = 30_000;
/**
 * Pause before a sampler that refused is tried again: longer than a full queue lasts, shorter than a load of weights.
 */
const refusedPauseMs = 150;
const maxFailureBytes = 1_048_576;
/** Bounds of an answer by the tokens that its item asks for; an event holds one token or more. */
const maxBytesPerToken = 1_024;
const maxOtherBytes = 65_536;
const itemFailedStatus = 500;
const itemImpossibleStatus = 422;
const noContentStatus = 204;

const maxAnswerBytesOf = ({ maxOutputTokens }: ItemRun["item"]): number =>
    maxOtherBytes + maxBytesPerToken * maxOutputTokens;

/** After such an end of a run its sampler is suspected for a while. */
const isSamplerFailure = (code: ResultCode): boolean =>
    code === resultCodes.connectionBroken || isInvalidAnswer(code);

function describeError(error: unknown): string {
    if (error instanceof ResultError) {
        return error.detail;
    }
    return error instanceof Error ? error.message : String(error);
}

/** Returns the result code of a run that broke off. */
function recordBrokenRun(
    { logger, metrics }: Pick<ItemSidecarDeps, "logger" | "metrics">,
    attempt: SampleAttempt,
    sampler: RegisteredSampler,
    error: unknown,
): ResultCode {
    const cause = codeOf(error);
    const isInvalid = isInvalidAnswer(cause);
    const code = isInvalid ? cause : resultCodes.connectionBroken;
    logger.info("runBroken", {
        item: attempt.sample,
        attempt: attempt.attempt,
        sampler: sampler.incarnation,
        code: code.number,
        detail: describeError(error),
    });
    if (isInvalid) {
        metrics.count("answers_spoiled_total", { service: sampler.service });
    }
    return code;
}

const countEvents = (spans: TokenSpan[]): number => spans.reduce((sum, span) => sum + span.tokens, 0);

function handleFailure(run: ItemRun, status: number, route: Route): Ended {
    if (status === itemImpossibleStatus) {
        run.terminate("impossible");
        return { kind: "unknown", code: resultCodes.badRequest };
    }
    if (status === itemFailedStatus) {
        run.failures++;
        if (run.failures >= route.maxAttempts) {
            run.terminate("failedEveryTime");
        }
    }
    // Deliberately not the result code of a crash: after two of those the dispatcher pauses a sample for ten
    // seconds.
    return { kind: "unknown", code: resultCodes.engineUnreachable };
}

/**
 * Runs a dispatcher's attempts directly on a sampler, with one span per event, so that a run resumes after the number
 * of events that exist. Status 500 is a failed run, status 422 an item that can never be generated.
 */
export function createItemSidecar(
    deps: ItemSidecarDeps,
    samplerId: SamplerId,
): Pick<SidecarPort, "runSample"> {
    const { samplerHealth } = deps;

    async function readRun(
        attempt: SampleAttempt,
        item: ItemRun["item"],
        reply: Extract<SamplerReply, { kind: "answered"; }>,
        route: Route,
        sampler: RegisteredSampler,
        onSpan: (span: TokenSpan) => void,
        spans: TokenSpan[],
    ): Promise<Ended> {
        let version = reply.weightVersion;
        let next = countEvents(spans) + 1;
        let lastEventAtMs: number | undefined;
        for await (const event of deps.readEvents(reply.body, maxAnswerBytesOf(item))) {
            const nowMs = deps.clock.monotonicMs();
            samplerHealth.recordActivity(
                sampler.incarnation,
                lastEventAtMs === undefined ? undefined : nowMs - lastEventAtMs,
            );
            lastEventAtMs = nowMs;
            if (event.number !== next) {
                throw new ResultError(
                    resultCodes.answerMixed,
                    `event ${event.number} in place of event ${next}`,
                );
            }
            if (event.number > item.maxOutputTokens) {
                throw new ResultError(resultCodes.answerTooLong, `more than ${item.maxOutputTokens} events`);
            }
            next++;
            version = event.weightVersion ?? version;
            if (version === undefined) {
                // The text could not be attributed to weights. An answer without events has no text, so it needs no
                // version.
                return { kind: "unknown", code: resultCodes.provenanceMissing };
            }
            if (route.isSingleVersion && spans.length > 0 && spans[0]!.version !== version) {
                return endAtOtherVersion(attempt, spans);
            }
            const span = { version, tokens: 1, text: `${event.data}\n` };
            spans.push(span);
            onSpan(span);
        }
        return toAnswer(attempt, spans, true);
    }

    /**
     * Ends a run whose next event is of another version than its text. What was added is kept, since a sampler of that
     * version may continue it. If nothing was, the sampler's entry may be out of date, so it is not asked again at once.
     */
    function endAtOtherVersion(attempt: SampleAttempt, spans: TokenSpan[]): Ended {
        return spans.length > attempt.resume.length
            ? toAnswer(attempt, spans, false)
            : { kind: "notRun", code: resultCodes.staleWeights, retryAfterMs: refusedPauseMs };
    }

    function toAnswer(attempt: SampleAttempt, spans: TokenSpan[], complete: boolean): Ended {
        const answer = { attempt: attempt.attempt, sampler: samplerId, spans, complete };
        return { kind: "ran", answer: { ...answer, engineMs: 0, cachedPromptTokens: 0 } };
    }

    async function runOnce(
        attempt: SampleAttempt,
        run: ItemRun,
        route: Route,
        sampler: RegisteredSampler,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
        spans: TokenSpan[],
    ): Promise<Ended> {
        const { batchJob, item } = run;
        const receivedEvents = countEvents(attempt.resume);
        const reply = await deps.callSampler({
            sampler,
            requestId: item.item,
            team: batchJob.team,
            method: "POST",
            host: batchJob.host,
            path: item.path,
            headers: item.headers,
            body: Buffer.from(item.bodyBase64, "base64"),
            budgetMs: runBudgetMs,
            ...(receivedEvents > 0 ? { lastEventNumber: receivedEvents } : {}),
        }, signal);
        if (reply.kind === "notRun") {
            samplerHealth.recordActivity(sampler.incarnation);
            return { kind: "notRun", code: reply.code, retryAfterMs: refusedPauseMs };
        }
        if (reply.kind === "unknown") {
            throw new ResultError(reply.code, reply.detail);
        }
        samplerHealth.recordActivity(sampler.incarnation);
        if (reply.status >= 300) {
            await readFullBody(reply.body, maxFailureBytes);
            return handleFailure(run, reply.status, route);
        }
        if (reply.status === noContentStatus) {
            throw new ResultError(resultCodes.answerMalformed, `status ${reply.status} in place of events`);
        }
        return readRun(attempt, item, reply, route, sampler, onSpan, spans);
    }

    const runSample: RunSample = async (attempt, onSpan, signal) => {
        const run = deps.findRun(attempt.sample);
        const sampler = deps.findSampler(samplerId);
        const route = run === undefined ? undefined : deps.findRoute(run);
        if (
            run === undefined || sampler === undefined || route === undefined
            || !deps.mayRunAt(run, sampler.service)
        ) {
            return { kind: "notRun", code: resultCodes.noSampler, retryAfterMs: refusedPauseMs };
        }
        samplerHealth.recordRunStarted(sampler.incarnation);
        const spans = [...attempt.resume];
        let ended: Ended;
        try {
            ended = await runOnce(attempt, run, route, sampler, onSpan, signal, spans);
        }
        catch (error) {
            ended = { kind: "unknown", code: recordBrokenRun(deps, attempt, sampler, error) };
        }
        samplerHealth.recordRunEnded(sampler.incarnation);
        if (ended.kind !== "unknown") {
            return ended;
        }
        if (signal.aborted && ended.code !== resultCodes.answerTooLong) {
            return toAnswer(attempt, spans, false);
        }
        if (isSamplerFailure(ended.code)) {
            samplerHealth.recordFailure(sampler.incarnation);
        }
        return ended;
    };
    return { runSample };
}
