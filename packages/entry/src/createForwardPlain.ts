import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { exchangeHttp } from "@auburnarch/transport/exchangeHttp";
import { parseAddress } from "@auburnarch/transport/parseAddress";
import { readFullBody } from "@auburnarch/transport/readFullBody";
import { toForwardedHeaders } from "@auburnarch/transport/toForwardedHeaders";
import { toNodeHeaders } from "@auburnarch/transport/toNodeHeaders";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import { Agent, type AgentOptions } from "node:http";
import type { CallerRequest } from "./CallerRequest.js";
import { forwardHeaders } from "./forwardHeaders.js";
import type { ForwardPlain } from "./ForwardPlain.js";

const maxRefusalBytes = 65_536;
const maxIdleConnections = 16;
const defaultBudgetMs = 60_000;
/** The owner answers by the deadline; this is the additional time for its answer to arrive. */
const answerGraceMs = 1_000;

interface Refusal {
    code?: number;
    outcome?: string;
    retryAfterMs?: number;
}

/** Creates the client that forwards a request to the entry that owns the range of its key. */
export function createForwardPlain(
    clusterToken: string,
    clock: Clock,
    createSecureAgent?: (options: AgentOptions) => Agent,
): ForwardPlain {
    const agentOptions = { keepAlive: true, maxFreeSockets: maxIdleConnections };
    const agent = createSecureAgent?.(agentOptions) ?? new Agent(agentOptions);

    function headersOf(request: CallerRequest): Record<string, string | string[]> {
        const headers: Record<string, string | string[]> = {
            ...toNodeHeaders(request.headers),
            authorization: `Bearer ${clusterToken}`,
            [forwardHeaders.forwarded]: "1",
            [forwardHeaders.team]: request.team,
            [forwardHeaders.idempotent]: "false",
            "content-length": String(request.body.byteLength),
        };
        if (request.budgetMs !== undefined) {
            headers[forwardHeaders.deadlineMs] = String(request.budgetMs);
        }
        if (request.idempotencyKey !== undefined) {
            headers["idempotency-key"] = request.idempotencyKey;
        }
        return headers;
    }

    /** If the answer does not come from the owner's handling of the request, it is unknown whether the request ran. */
    async function readRefusal(body: AsyncIterable<Uint8Array>): Promise<AttemptOutcome<PlainAnswer>> {
        const unknownOutcome = { kind: "unknown", code: resultCodes.connectionBroken } as const;
        try {
            const refusal = JSON.parse((await readFullBody(body, maxRefusalBytes)).toString()) as Refusal;
            const code = codeByNumber(refusal.code);
            if (code === resultCodes.internal) {
                return unknownOutcome;
            }
            return refusal.outcome === "notRun"
                ? { kind: "notRun", code, retryAfterMs: refusal.retryAfterMs }
                : { kind: "unknown", code };
        }
        catch {
            return unknownOutcome;
        }
    }

    return async (address, request, signal) => {
        const { host, port } = parseAddress(address, createSecureAgent !== undefined);
        const exchange = await exchangeHttp({
            clock,
            agent,
            host,
            port,
            method: request.method,
            path: `/v1/services/${request.service}${request.path}`,
            headers: headersOf(request),
            body: request.body.byteLength === 0 ? undefined : request.body,
            signal,
            timeoutMs: (request.budgetMs ?? defaultBudgetMs) + answerGraceMs,
        });
        if (exchange.kind === "notWritten") {
            return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
        }
        if (exchange.kind === "broken") {
            return { kind: "unknown", code: resultCodes.connectionBroken };
        }
        if (exchange.headers[forwardHeaders.outcome] !== "ran") {
            return readRefusal(exchange.body);
        }
        const headers = toForwardedHeaders(exchange.headers);
        return { kind: "ran", answer: { status: exchange.status, headers, body: exchange.body } };
    };
}
