import { codeOf } from "@auburnarch/errors/codeOf";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ServerResponse } from "node:http";
import { sendJson } from "./sendJson.js";

/** Answers with the result code of an error, or closes the connection if the answer has already begun. */
export function sendError(response: ServerResponse, error: unknown): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const code = codeOf(error);
    const detail = error instanceof ResultError ? error.detail : String(error);
    const retryAfterMs = error instanceof ResultError ? error.retryAfterMs : undefined;
    sendJson(response, code.httpStatus, { code: code.number, name: code.name, detail, retryAfterMs });
}
