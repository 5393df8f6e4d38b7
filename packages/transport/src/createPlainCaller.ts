import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { exchangeHttp } from "./exchangeHttp.js";
import type { HttpExchange } from "./HttpExchange.js";
import { resolveBrokenAttempt } from "./resolveBrokenAttempt.js";
import { sidecarHeaders } from "./sidecarHeaders.js";
import type { SidecarTransport } from "./SidecarTransport.js";
import { toForwardedHeaders } from "./toForwardedHeaders.js";
import { toNodeHeaders } from "./toNodeHeaders.js";

type Outcome = AttemptOutcome<PlainAnswer>;

/** The sidecar times out at the end of the budget; its response may take this much longer to arrive. */
const answerGraceMs = 1_000;
const plainPrefix = "/plain";

/** Implements `callPlain` over HTTP: the response body is streamed, everything besides bodies is sent in headers. */
export function createPlainCaller(transport: SidecarTransport): SidecarPort["callPlain"] {
    const { clock } = transport;

    function headersOf(request: PlainRequest): Record<string, string | string[]> {
        const headers: Record<string, string | string[]> = {
            ...toNodeHeaders(request.headers),
            ...transport.commonHeaders,
        };
        headers[sidecarHeaders.attempt] = request.attempt;
        headers[sidecarHeaders.service] = request.service;
        headers[sidecarHeaders.team] = request.team;
        headers[sidecarHeaders.budgetMs] = String(Math.ceil(request.budgetMs));
        headers[sidecarHeaders.idempotent] = request.idempotent ? "1" : "0";
        headers[sidecarHeaders.digest] = request.digest;
        if (request.isTrial === true) {
            headers[sidecarHeaders.trial] = "1";
        }
        headers["content-length"] = String(request.body.length);
        return headers;
    }

    function call(request: PlainRequest, signal: AbortSignal): Promise<HttpExchange> {
        return exchangeHttp({
            clock,
            agent: transport.agent,
            host: transport.host,
            port: transport.port,
            method: request.method,
            path: plainPrefix + request.path,
            headers: headersOf(request),
            body: request.body.length === 0 ? undefined : request.body,
            signal,
            timeoutMs: request.budgetMs + answerGraceMs,
        });
    }

    return async (request, signal) => {
        if (transport.incarnations.current() === undefined) {
            await transport.learnIncarnation();
        }
        const sentTo = transport.incarnations.current();
        const sentAtMs = clock.monotonicMs();
        const exchange = await call(request, signal);
        const outcome = readOutcome(transport, exchange);
        if (outcome !== undefined) {
            return outcome;
        }
        const code = signal.aborted ? resultCodes.cancelled : codeOfBrokenExchange(exchange);
        const { attempt } = request;
        const { query, guards } = transport;
        return resolveBrokenAttempt({ attempt, sentTo, sentAtMs, clock, query, code, guards });
    };
}

function codeOfBrokenExchange(exchange: HttpExchange): ResultCode {
    const timedOut = exchange.kind === "broken" && exchange.timedOut;
    return timedOut ? resultCodes.deadlineWhileRunning : resultCodes.connectionBroken;
}

/** Returns undefined if the sidecar has to be queried for the state of the attempt. */
function readOutcome(transport: SidecarTransport, exchange: HttpExchange): Outcome | undefined {
    if (exchange.kind === "broken") {
        return undefined;
    }
    if (exchange.kind === "notWritten") {
        return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
    }
    const { headers } = exchange;
    transport.incarnations.record(headers[sidecarHeaders.incarnation]);
    if (headers[sidecarHeaders.outcome] === "ran") {
        const { status, body } = exchange;
        return { kind: "ran", answer: { status, headers: toForwardedHeaders(headers), body } };
    }
    drainBody(exchange.body);
    const code = codeByNumber(Number(headers[sidecarHeaders.code]));
    switch (headers[sidecarHeaders.outcome]) {
        case "notRun":
            return {
                kind: "notRun",
                code,
                retryAfterMs: parseNumberHeader(headers[sidecarHeaders.retryAfterMs]),
            };
        case "unknown":
            return { kind: "unknown", code };
        default:
            // Only the HTTP server answered, so it is unknown whether the sidecar's handler received the attempt.
            return undefined;
    }
}

function parseNumberHeader(value: string | string[] | undefined): number | undefined {
    return typeof value === "string" && value !== "" ? Number(value) : undefined;
}

/** Discards the short body of a refusal, so that its connection can be reused. */
function drainBody(body: AsyncIterable<Uint8Array>): void {
    void (async () => {
        try {
            for await (const chunk of body) {
                void chunk;
            }
        }
        catch {
            // The headers already contained the outcome.
        }
    })();
}
