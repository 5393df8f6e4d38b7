import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { BodyBudget } from "@auburnarch/overload/BodyBudget";
import { readBoundedBody } from "@auburnarch/overload/readBoundedBody";
import { breakOffResponse } from "@auburnarch/streams/breakOffResponse";
import { createResponseSink } from "@auburnarch/streams/createResponseSink";
import { pipeBody } from "@auburnarch/streams/pipeBody";
import { sidecarHeaders } from "@auburnarch/transport/sidecarHeaders";
import { toForwardedHeaders } from "@auburnarch/transport/toForwardedHeaders";
import { toNodeHeaders } from "@auburnarch/transport/toNodeHeaders";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Sidecar } from "./Sidecar.js";
import { writeErrorAnswer } from "./writeErrorAnswer.js";

interface PlainHandlerDeps {
    sidecar: Sidecar;
    clock: Clock;
    incarnation: IncarnationId;
    maxBodyBytes: number;
    bodies: BodyBudget;
}

/** Tokens after the first are batched for this long, so that an entry handles a fraction of the frames. */
const eventBatchMs = 100;
const prefix = "/plain";
const maxBudgetMs = 3_600_000;
const maxNameChars = 512;

/** Creates the handler of interactive and plain requests: metadata in headers, bodies passed unchanged. */
export function createPlainHandler(
    deps: PlainHandlerDeps,
): (request: IncomingMessage, response: ServerResponse) => void {
    const { sidecar, clock, incarnation } = deps;

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const plain = parseRequestHead(request);
        if (typeof plain === "string") {
            writeErrorAnswer(response, incarnation, resultCodes.badRequest, plain);
            return;
        }
        try {
            plain.body = await readBoundedBody(deps.bodies, request, response, deps.maxBodyBytes);
        }
        catch (error) {
            writeErrorAnswer(response, incarnation, codeOf(error), "body");
            return;
        }
        const abort = new AbortController();
        response.once("close", () => {
            // Aborting creates an exception with its stack, which most connections, closed after a complete response,
            // do not need.
            if (!response.writableFinished) {
                abort.abort();
            }
        });
        const outcome = await sidecar.callPlain(plain, abort.signal);
        if (response.destroyed) {
            return;
        }
        if (outcome.kind === "ran") {
            await writeAnswer(response, outcome.answer);
        }
        else {
            writeRefusal(response, outcome);
        }
    }

    async function writeAnswer(response: ServerResponse, answer: PlainAnswer): Promise<void> {
        const streamed = answer.headers["content-type"]?.startsWith("text/event-stream") ?? false;
        const sink = createResponseSink(response, answer.status, {
            ...toNodeHeaders(answer.headers),
            [sidecarHeaders.outcome]: "ran",
            [sidecarHeaders.incarnation]: incarnation,
        });
        try {
            await pipeBody(clock, answer.body, sink, streamed ? eventBatchMs : undefined);
        }
        catch {
            // The sender must see a broken connection, never a complete response.
            breakOffResponse(response);
        }
    }

    function writeRefusal(
        response: ServerResponse,
        outcome: Exclude<AttemptOutcome<PlainAnswer>, { kind: "ran"; }>,
    ): void {
        const headers: Record<string, string> = {
            "content-length": "0",
            [sidecarHeaders.outcome]: outcome.kind,
            [sidecarHeaders.code]: String(outcome.code.number),
            [sidecarHeaders.incarnation]: incarnation,
        };
        if (outcome.kind === "notRun" && outcome.retryAfterMs !== undefined) {
            headers[sidecarHeaders.retryAfterMs] = String(outcome.retryAfterMs);
        }
        response.writeHead(outcome.code.httpStatus, headers);
        response.end();
    }

    return (request, response) => {
        handle(request, response).catch(() => response.destroy());
    };
}

/** Reads a plain request without its body, or returns a sentence that names the fault. */
function parseRequestHead(request: IncomingMessage): PlainRequest | string {
    const { headers } = request;
    const attempt = boundedHeaderValue(headers[sidecarHeaders.attempt]);
    const service = boundedHeaderValue(headers[sidecarHeaders.service]);
    const team = boundedHeaderValue(headers[sidecarHeaders.team]);
    const digest = boundedHeaderValue(headers[sidecarHeaders.digest]);
    const budgetMs = Number(headers[sidecarHeaders.budgetMs]);
    if (attempt === undefined || service === undefined || team === undefined || digest === undefined) {
        return `headers ${sidecarHeaders.attempt}, -service, -team and -digest are needed`;
    }
    if (!Number.isFinite(budgetMs) || budgetMs > maxBudgetMs) {
        return `header ${sidecarHeaders.budgetMs} is not a number of milliseconds up to ${maxBudgetMs}`;
    }
    return {
        attempt: attempt as AttemptId,
        service: service as ServiceId,
        team: team as TeamId,
        digest: digest as ContentDigest,
        isTrial: headers[sidecarHeaders.trial] === "1",
        budgetMs,
        idempotent: headers[sidecarHeaders.idempotent] === "1",
        method: request.method ?? "GET",
        path: (request.url ?? "").slice(prefix.length),
        headers: toForwardedHeaders(headers),
        body: new Uint8Array(0),
    };
}

function boundedHeaderValue(value: string | string[] | undefined): string | undefined {
    const known = typeof value === "string" && value.length > 0 && value.length <= maxNameChars;
    return known ? value : undefined;
}
