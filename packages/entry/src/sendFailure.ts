import { codeOf } from "@auburnarch/errors/codeOf";
import { ResultError } from "@auburnarch/errors/ResultError";
import { breakOffResponse } from "@auburnarch/streams/breakOffResponse";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { ManifestConflictError } from "./ManifestConflictError.js";
import { ManifestInvalidError } from "./ManifestInvalidError.js";
import { outcomeOfError } from "./outcomeOfError.js";

const millisecondsPerSecond = 1_000;

function describeCurrent({ current }: ManifestConflictError): unknown {
    return current === undefined ? undefined : { version: current.version, manifest: current.value };
}

/** Sends a complete response. */
type Send = (status: number, headers: OutgoingHttpHeaders, body: Uint8Array) => void;

function sendAtOnce(response: ServerResponse): Send {
    return (status, headers, body) => {
        response.writeHead(status, { ...headers, "content-length": body.length });
        response.end(body);
    };
}

/**
 * Sends an error as JSON with its numbered code, the suggested action and whether the request ran. If the answer has
 * already begun, the connection is destroyed instead, so that a partial answer is not taken for a complete one.
 */
export function sendFailure(response: ServerResponse, error: unknown, send = sendAtOnce(response)): void {
    if (response.headersSent) {
        breakOffResponse(response);
        return;
    }
    const code = codeOf(error);
    const outcome = outcomeOfError(error);
    const detail = error instanceof ResultError ? error.detail : "";
    const retryAfterMs = error instanceof ResultError ? error.retryAfterMs : undefined;
    const body = Buffer.from(JSON.stringify({
        code: code.number,
        name: code.name,
        message: detail === "" ? code.meaning : `${code.meaning} (${detail})`,
        action: code.action,
        outcome,
        retryAfterMs,
        faults: error instanceof ManifestInvalidError ? error.faults : undefined,
        current: error instanceof ManifestConflictError ? describeCurrent(error) : undefined,
    }));
    const headers: Record<string, string | number> = {
        "content-type": "application/json",
        "x-auburnarch-outcome": outcome,
    };
    if (retryAfterMs !== undefined) {
        headers["retry-after"] = Math.max(1, Math.ceil(retryAfterMs / millisecondsPerSecond));
    }
    send(code.httpStatus, headers, body);
}
