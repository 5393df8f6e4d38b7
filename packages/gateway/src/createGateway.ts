import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { LotId } from "@auburnarch/lots/LotId";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { Route } from "@auburnarch/routing/Route";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import { match } from "ts-pattern";
import type { ClientAnswer } from "./ClientAnswer.js";
import type { ClientCall } from "./ClientCall.js";
import type { ClientRequest } from "./ClientRequest.js";
import type { Gateway } from "./Gateway.js";
import type { GatewayDeps } from "./GatewayDeps.js";

/** When a client should come back that was refused because the store is away or nothing is known yet. */
const retryAfterMs = 250;

/** Makes the gateway of one process. */
export function createGateway(deps: GatewayDeps): Gateway {
    const { clock, logger, metrics, routing } = deps;
    let isLeaving = false;

    function fail(error: unknown): ClientAnswer {
        const code = codeOf(error);
        const detail = error instanceof ResultError ? error.detail : String(error);
        const isRefusal = code.httpStatus === 503 || code.httpStatus === 429;
        return { kind: "failed", code, detail, retryAfterMs: isRefusal ? retryAfterMs : undefined };
    }

    function requireTable(): RoutingTable {
        const table = routing();
        if (table === undefined) {
            throw new ResultError(resultCodes.notReady, "no configuration yet");
        }
        return table;
    }

    function requireRequestId(request: ClientRequest): string {
        if (request.requestId === undefined) {
            throw new ResultError(resultCodes.badRequest, "request id missing");
        }
        return request.requestId;
    }

    async function acceptLot(request: ClientRequest, table: RoutingTable): Promise<ClientAnswer> {
        const startedAtMs = clock.monotonicMs();
        const id = requireRequestId(request) as LotId;
        const body = await request.readBody(table.clientLimits.maxBodyBytes);
        const lot = deps.decodeLot(id, request.host, request.path, body);
        try {
            await deps.lots.accept(lot, clock.wallMs());
        }
        catch (error) {
            const isUnknown = codeOf(error) === resultCodes.storeUnavailable;
            throw isUnknown ? new ResultError(resultCodes.acceptanceUnknown, String(error)) : error;
        }
        logger.info("lotAccepted", {
            lot: id,
            policy: lot.policy,
            step: lot.step,
            minVersion: lot.minVersion,
            items: lot.items.length,
            bytes: body.length,
            configVersion: table.version,
            tookMs: Math.round(clock.monotonicMs() - startedAtMs),
        });
        return { kind: "lotAccepted" };
    }

    async function relayRequest(
        request: ClientRequest,
        route: Route,
        table: RoutingTable,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const receivedAtMs = clock.monotonicMs();
        const requestId = requireRequestId(request);
        const body = await request.readBody(table.clientLimits.maxBodyBytes);
        const { method, host, path, headers } = request;
        const readMs = clock.monotonicMs() - receivedAtMs;
        const deadlineMs = request.deadlineMs === undefined ? undefined : request.deadlineMs - readMs;
        const outcome = await deps.relay(
            { requestId, route, method, host, path, headers, body, deadlineMs },
            signal,
        );
        return outcome.kind === "answered"
            ? { kind: "relayed", status: outcome.status, headers: outcome.headers, body: outcome.body }
            : {
                kind: "failed",
                code: outcome.code,
                detail: outcome.detail,
                retryAfterMs: outcome.retryAfterMs,
            };
    }

    async function takeRequest(request: ClientRequest, signal: AbortSignal): Promise<ClientAnswer> {
        const table = requireTable();
        const route = findRoute(table, request.host, request.path);
        if (route === undefined) {
            throw new ResultError(
                resultCodes.unknownRoute,
                `${request.host}${request.path} in version ${table.version}`,
            );
        }
        return route.kind === "rollout" && request.method === "POST"
            ? acceptLot(request, table)
            : relayRequest(request, route, table, signal);
    }

    async function readLot(
        lot: LotId,
        after: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const page = await deps.reader.read(lot, after, waitMs, signal);
        if (page === undefined) {
            throw new ResultError(resultCodes.unknownLot, lot);
        }
        return { kind: "lotPage", page };
    }

    async function readItem(lot: LotId, item: string): Promise<ClientAnswer> {
        const found = await deps.reader.readItem(lot, item);
        if (found === undefined) {
            throw new ResultError(resultCodes.unknownLot, `${lot} item ${item}`);
        }
        return { kind: "lotItem", body: Buffer.from(found.bodyBase64, "base64") };
    }

    async function endLot(lot: LotId): Promise<ClientAnswer> {
        if (!await deps.lots.end(lot)) {
            throw new ResultError(resultCodes.unknownLot, lot);
        }
        logger.info("lotEnded", { lot });
        return { kind: "lotEnded" };
    }

    function dispatch(call: ClientCall, signal: AbortSignal): Promise<ClientAnswer> {
        return match(call)
            .with({ kind: "request" }, ({ request }) => takeRequest(request, signal))
            .with({ kind: "readLot" }, ({ lot, after, waitMs }) => readLot(lot, after, waitMs, signal))
            .with({ kind: "readItem" }, ({ lot, item }) => readItem(lot, item))
            .with({ kind: "endLot" }, ({ lot }) => endLot(lot))
            .exhaustive();
    }

    const subjectOf = (call: ClientCall): string | undefined =>
        call.kind === "request" ? call.request.requestId : call.lot;

    return {
        answer: async (call, signal) => {
            const startedAtMs = clock.monotonicMs();
            const answer = await dispatch(call, signal).catch(fail);
            const tookMs = clock.monotonicMs() - startedAtMs;
            const result = answer.kind === "failed" ? answer.code.name : "answered";
            metrics.observeMs("client_calls_ms", { kind: call.kind, result }, tookMs);
            if (answer.kind === "failed") {
                const { number, name } = answer.code;
                const { detail } = answer;
                logger.warn("clientRefused", {
                    request: subjectOf(call),
                    kind: call.kind,
                    code: number,
                    name,
                    detail,
                    tookMs: Math.round(tookMs),
                });
            }
            return answer;
        },
        isReady: () => !isLeaving && routing() !== undefined && deps.directory.isKnown(),
        leave: () => {
            isLeaving = true;
        },
    };
}
