import { resultCodes } from "@auburnarch/errors/resultCodes";
import { receiveResponse } from "@auburnarch/streams/receiveResponse";
import { trackResponseEnd } from "@auburnarch/streams/trackResponseEnd";
import type { OperatorError } from "@auburnarch/types/OperatorError";
import { type IncomingMessage, request as httpRequest } from "node:http";
import { request as httpsRequest } from "node:https";
import { z } from "zod";
import type { OperatorClient } from "./OperatorClient.js";
import { OperatorFailure } from "./OperatorFailure.js";

const timeoutMs = 15_000;
const maxAnswerBytes = 16_000_000;
const firstErrorStatus = 400;

const errorSchema = z.looseObject({
    code: z.number(),
    name: z.string(),
    message: z.string(),
    action: z.string(),
});

function unreachable(entryUrl: string, detail: string): OperatorFailure {
    const { number, name } = resultCodes.peerUnreachable;
    return new OperatorFailure({
        code: number,
        name,
        message: `No answer from ${entryUrl} (${detail}).`,
        action: "Check --entry, or name another entry; any of them will do.",
    });
}

interface Answer {
    response: IncomingMessage;
    /** Whether the response, once it has ended, is complete. */
    isWhole: () => boolean;
}

async function readText({ response, isWhole }: Answer): Promise<string> {
    const parts: Buffer[] = [];
    let bytes = 0;
    for await (const part of response) {
        bytes += (part as Buffer).length;
        if (bytes > maxAnswerBytes) {
            response.destroy();
            throw new Error(`the answer exceeds ${maxAnswerBytes} bytes`);
        }
        parts.push(part as Buffer);
    }
    if (!isWhole()) {
        throw new Error("the answer was cut short");
    }
    return Buffer.concat(parts).toString("utf8");
}

/** Creates a client of the operator API at `entryUrl`; it authenticates with `token`. */
export function createOperatorClient(entryUrl: string, token: string): OperatorClient {
    const startRequest = entryUrl.startsWith("https:") ? httpsRequest : httpRequest;

    function send(method: string, path: string, body: unknown): Promise<Answer> {
        const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
        const headers = {
            "authorization": `Bearer ${token}`,
            ...(bytes === undefined
                ? {}
                : { "content-type": "application/json", "content-length": bytes.length }),
        };
        return new Promise((resolve, reject) => {
            const request = startRequest(new URL(path, entryUrl), { method, headers, timeout: timeoutMs });
            receiveResponse(
                request,
                response => resolve({ response, isWhole: trackResponseEnd(response, method) }),
                reject,
            );
            request.on("timeout", () => request.destroy(new Error(`no answer within ${timeoutMs} ms`)));
            request.end(bytes);
        });
    }

    async function call(method: string, path: string, body?: unknown): Promise<unknown> {
        let status: number;
        let value: unknown;
        try {
            const answer = await send(method, path, body);
            status = answer.response.statusCode ?? 0;
            value = JSON.parse(await readText(answer));
        }
        catch (error) {
            throw unreachable(entryUrl, error instanceof Error ? error.message : String(error));
        }
        if (status < firstErrorStatus) {
            return value;
        }
        const parsed = errorSchema.safeParse(value);
        throw parsed.success
            ? new OperatorFailure(parsed.data as unknown as OperatorError)
            : unreachable(entryUrl, `status ${status}`);
    }

    return {
        get: path => call("GET", path),
        post: (path, body) => call("POST", path, body),
    };
}
