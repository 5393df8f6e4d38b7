import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./CallerRequest.js";

/** Hop-by-hop headers, and headers that this system processes itself. */
const unforwardedHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "authorization",
    "idempotency-key",
]);
const ownPrefix = "x-auburnarch-";
const maxBudgetMs = 3_600_000;

function forwardableHeaders(headers: IncomingMessage["headers"]): Record<string, string> {
    const connectionHeaders = new Set(
        (headers.connection ?? "").split(",").map(name => name.trim().toLowerCase()),
    );
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        const text = Array.isArray(value) ? value.join(", ") : value;
        if (
            text !== undefined && !unforwardedHeaders.has(name) && !connectionHeaders.has(name)
            && !name.startsWith(ownPrefix)
        ) {
            forwarded[name] = text;
        }
    }
    return forwarded;
}

function readBudget(text: string | undefined): number | undefined {
    if (text === undefined) {
        return undefined;
    }
    const budgetMs = Number(text);
    if (!Number.isFinite(budgetMs) || budgetMs <= 0 || budgetMs > maxBudgetMs) {
        throw new ResultError(resultCodes.badRequest, `x-auburnarch-deadline-ms: 1 to ${maxBudgetMs}`);
    }
    return budgetMs;
}

function readIdempotent(text: string | undefined): boolean | undefined {
    if (text === undefined || text === "true" || text === "false") {
        return text === undefined ? undefined : text === "true";
    }
    throw new ResultError(resultCodes.badRequest, "x-auburnarch-idempotent: true or false");
}

const firstValue = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value[0] : value;

/** Reads the deadline, key and idempotency flag from a caller's headers; throws code `badRequest` if one is invalid. */
export function readCallerRequest(
    request: IncomingMessage,
    team: TeamId,
    service: ServiceId,
    path: string,
    body: Uint8Array,
): CallerRequest {
    const { headers } = request;
    return {
        team,
        service,
        method: request.method ?? "GET",
        path,
        headers: forwardableHeaders(headers),
        body,
        budgetMs: readBudget(firstValue(headers["x-auburnarch-deadline-ms"])),
        idempotencyKey: firstValue(headers["idempotency-key"]),
        idempotent: readIdempotent(firstValue(headers["x-auburnarch-idempotent"])),
        forwarded: false,
    };
}
