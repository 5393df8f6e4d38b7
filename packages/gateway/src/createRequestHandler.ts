import { requestLimitMs } from "@auburnarch/forwarding/requestLimitMs";
import type { BodyHold } from "@auburnarch/overload/BodyHold";
import type { Route } from "@auburnarch/routing/Route";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { Team } from "@auburnarch/routing/Team";
import type { ClientAnswer } from "./ClientAnswer.js";
import type { ClientRequest } from "./ClientRequest.js";
import type { GatewayDeps } from "./GatewayDeps.js";
import { readHeldBody } from "./readHeldBody.js";
import { requireRequestId } from "./requireRequestId.js";

/** Answers a plain request. May reject with a `ResultError`. */
type RequestHandler = (
    request: ClientRequest,
    team: Team | undefined,
    route: Route,
    table: RoutingTable,
    signal: AbortSignal,
) => Promise<ClientAnswer>;

/** Creates a gateway's handler of plain requests, which reads the body and passes the request to the forwarder. */
export function createRequestHandler(deps: GatewayDeps): RequestHandler {
    const { clock } = deps;

    async function forward(
        request: ClientRequest,
        team: Team | undefined,
        route: Route,
        table: RoutingTable,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const hold = deps.bodyBudget.open();
        try {
            return await forwardHeld(request, team, route, table, hold, signal);
        }
        finally {
            hold.close();
        }
    }

    async function forwardHeld(
        request: ClientRequest,
        team: Team | undefined,
        route: Route,
        table: RoutingTable,
        hold: BodyHold,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const receivedAtMs = clock.monotonicMs();
        const requestId = requireRequestId(request);
        const { maxBodyBytes } = table.clientLimits;
        const limitMs = requestLimitMs({ deadlineMs: request.deadlineMs, route });
        const body = await readHeldBody({ request, maxBodyBytes, hold, limitMs, clock, signal });
        const { method, host, path } = request;
        const headers = table.teams === undefined
            ? { ...request.headers, ...request.credentialHeaders() }
            : request.headers;
        const readMs = clock.monotonicMs() - receivedAtMs;
        const deadlineMs = request.deadlineMs === undefined ? undefined : request.deadlineMs - readMs;
        const outcome = await deps.forwardRequest(
            {
                requestId,
                team: team?.team,
                teamPriority: team?.priority,
                route,
                method,
                host,
                path,
                headers,
                body,
                deadlineMs,
            },
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

    return forward;
}
