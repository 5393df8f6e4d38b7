import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { receiveResponse } from "@auburnarch/streams/receiveResponse";
import { trackResponseEnd } from "@auburnarch/streams/trackResponseEnd";
import { request as httpRequest } from "node:http";
import type { Agent } from "node:http";

const okStatus = 200;

interface EntryCall {
    agent: Agent;
    address: string;
    method: string;
    path: string;
    token: string;
    headers?: Record<string, string>;
    body?: unknown;
    timeoutMs: number;
}

interface Refusal {
    code?: number;
    message?: string;
    retryAfterMs?: number;
}

function parseAnswer(status: number, text: string): unknown {
    const answer = JSON.parse(text) as Refusal;
    if (status === okStatus) {
        return answer;
    }
    throw new ResultError(
        codeByNumber(answer.code),
        answer.message ?? "",
        answer.retryAfterMs,
    );
}

/** Sends one JSON call to an entry, as a team's client does; rejects with a `ResultError`. */
export function callEntry(call: EntryCall): Promise<unknown> {
    const body = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
    const headers: Record<string, string> = { ...call.headers, authorization: `Bearer ${call.token}` };
    if (body !== undefined) {
        headers["content-type"] = "application/json";
        headers["content-length"] = String(body.byteLength);
    }
    const broken = (error: Error): ResultError =>
        new ResultError(resultCodes.connectionBroken, error.message);
    return new Promise((resolve, reject) => {
        const { agent, method, timeoutMs } = call;
        const sent = httpRequest(new URL(call.path, call.address), {
            agent,
            method,
            headers,
            timeout: timeoutMs,
        });
        receiveResponse(sent, answer => {
            const isWhole = trackResponseEnd(answer, method);
            const chunks: Buffer[] = [];
            answer.on("data", (chunk: Buffer) => chunks.push(chunk));
            answer.on("error", error => reject(broken(error)));
            answer.on("end", () => {
                if (!isWhole()) {
                    reject(broken(new Error("answer cut short")));
                    return;
                }
                try {
                    resolve(parseAnswer(answer.statusCode ?? 0, Buffer.concat(chunks).toString()));
                }
                catch (error) {
                    reject(error as Error);
                }
            });
        }, error => reject(broken(error)));
        sent.on("timeout", () => sent.destroy(new Error(`no answer within ${timeoutMs} ms`)));
        sent.end(body);
    });
}
