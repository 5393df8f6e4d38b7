import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { BodyBudget } from "@auburnarch/overload/BodyBudget";
import { readBoundedBody } from "@auburnarch/overload/readBoundedBody";
import { sampleAttemptSchema } from "@auburnarch/transport/sampleAttemptSchema";
import { sidecarHeaders } from "@auburnarch/transport/sidecarHeaders";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { IncomingMessage, ServerResponse } from "node:http";
import { describeRequestError } from "./describeRequestError.js";
import type { Sidecar } from "./Sidecar.js";
import { writeErrorAnswer } from "./writeErrorAnswer.js";

interface SampleHandlerDeps {
    sidecar: Sidecar;
    clock: Clock;
    incarnation: IncarnationId;
    maxBodyBytes: number;
    bodies: BodyBudget;
}

interface SampleHandler {
    handle(request: IncomingMessage, response: ServerResponse): void;
    /** Cancels a running attempt; its stream continues to the outcome, with the tokens generated so far. */
    cancel(attempt: AttemptId): boolean;
}

/** Spans are batched for this long; no consumer reads a rollout token by token. */
const flushIntervalMs = 20;

/**
 * Creates the handler of samples. It writes a line of JSON for each span, with neighbours of one version joined, and a
 * last line for the outcome.
 */
export function createSampleHandler(deps: SampleHandlerDeps): SampleHandler {
    const { sidecar, incarnation } = deps;
    const aborts = new Map<AttemptId, AbortController>();

    async function readAttempt(request: IncomingMessage, response: ServerResponse): Promise<SampleAttempt> {
        const body = await readBoundedBody(deps.bodies, request, response, deps.maxBodyBytes);
        return sampleAttemptSchema.parse(JSON.parse(Buffer.from(body).toString("utf8")));
    }

    async function run(attempt: SampleAttempt, response: ServerResponse): Promise<void> {
        const abort = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                abort.abort();
            }
        });
        // A repeated id is refused by the sidecar and must not replace the first attempt here.
        const isFirst = !aborts.has(attempt.attempt);
        if (isFirst) {
            aborts.set(attempt.attempt, abort);
        }
        response.writeHead(200, {
            "content-type": "application/x-ndjson",
            [sidecarHeaders.incarnation]: incarnation,
        });
        const writer = createSpanWriter(deps.clock, response);
        const outcome = await sidecar.runSample(attempt, writer.add, abort.signal);
        if (isFirst) {
            aborts.delete(attempt.attempt);
        }
        if (!response.destroyed) {
            writer.flush();
            response.end(`${JSON.stringify(outcomeLine(outcome, writer))}\n`);
        }
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        let attempt: SampleAttempt;
        try {
            attempt = await readAttempt(request, response);
        }
        catch (error) {
            const code = codeOf(error);
            const reportedCode = code === resultCodes.internal ? resultCodes.badRequest : code;
            writeErrorAnswer(response, incarnation, reportedCode, describeRequestError(error));
            return;
        }
        await run(attempt, response);
    }

    return {
        handle: (request, response) => {
            handle(request, response).catch(() => response.destroy());
        },
        cancel: attempt => {
            const abort = aborts.get(attempt);
            abort?.abort();
            return abort !== undefined;
        },
    };
}

interface SpanWriter {
    add(span: TokenSpan): void;
    flush(): void;
    spans(): number;
    tokens(): number;
}

function createSpanWriter(clock: Clock, response: ServerResponse): SpanWriter {
    let pendingSpan: TokenSpan | undefined;
    let cancelTimer: (() => void) | undefined;
    let spans = 0;
    let tokens = 0;

    function flush(): void {
        cancelTimer?.();
        cancelTimer = undefined;
        if (pendingSpan !== undefined && !response.destroyed) {
            spans++;
            tokens += pendingSpan.tokens;
            response.write(`${JSON.stringify({ kind: "span", ...pendingSpan })}\n`);
            pendingSpan = undefined;
        }
    }

    return {
        add: span => {
            if (pendingSpan !== undefined && pendingSpan.version !== span.version) {
                flush();
            }
            pendingSpan = pendingSpan === undefined
                ? { ...span }
                : {
                    ...pendingSpan,
                    tokens: pendingSpan.tokens + span.tokens,
                    text: pendingSpan.text + span.text,
                };
            cancelTimer ??= clock.startTimer(flushIntervalMs, flush);
        },
        flush,
        spans: () => spans,
        tokens: () => tokens,
    };
}

function outcomeLine(outcome: AttemptOutcome<SampleAnswer>, writer: SpanWriter): Record<string, unknown> {
    if (outcome.kind !== "ran") {
        return { ...outcome, code: outcome.code.number };
    }
    const { sampler, complete, engineMs, cachedPromptTokens } = outcome.answer;
    return {
        kind: "ran",
        sampler,
        complete,
        engineMs,
        cachedPromptTokens,
        streamedSpans: writer.spans(),
        streamedTokens: writer.tokens(),
    };
}
