import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Credential } from "@auburnarch/routing/Credential";
import { matchesHost } from "@auburnarch/routing/matchesHost";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { TeamId } from "@auburnarch/types/TeamId";
import { match } from "ts-pattern";
import type { ClientAnswer } from "./ClientAnswer.js";
import type { ClientCall } from "./ClientCall.js";
import type { ClientRequest } from "./ClientRequest.js";
import { createBatchJobHandler } from "./createBatchJobHandler.js";
import { createRequestHandler } from "./createRequestHandler.js";
import type { Gateway } from "./Gateway.js";
import type { GatewayDeps } from "./GatewayDeps.js";
import { pickBodyRetryAfterMs } from "./pickBodyRetryAfterMs.js";
import { requireCaller } from "./requireCaller.js";
import { requireRequestId } from "./requireRequestId.js";
import { requireRoute } from "./requireRoute.js";

/** Retry delay for clients refused with status 429 or 503, as when the store is unreachable. */
const retryAfterMs = 250;

/**
 * A gateway that cannot reach the store can neither accept nor read batch jobs, while other gateways may be able to. If
 * no gateway can reach the store, none is ready, and the load balancer uses all of them again.
 */
const storeSilenceMs = 700;

/** Configuration changes arrive within two seconds of their acknowledgement; an older copy may lack some. */
const maxRoutingAgeMs = 2_500;

/** Whether the process knows what it needs to serve requests. */
const isInformed = ({ routing, directory, hasRestoredTrials }: GatewayDeps): boolean =>
    routing() !== undefined && directory.isKnown() && (hasRestoredTrials?.() ?? true);

/** Creates the gateway of a process. */
export function createGateway(deps: GatewayDeps): Gateway {
    const { clock, logger, metrics, routing } = deps;
    const batchJobs = createBatchJobHandler(deps);
    const forwardRequest = createRequestHandler(deps);
    let isLeaving = false;

    function fail(error: unknown, call: ClientCall): ClientAnswer {
        const code = codeOf(error);
        const detail = error instanceof ResultError ? error.detail : String(error);
        const isRefusal = code.httpStatus === 503 || code.httpStatus === 429;
        const deadlineMs = call.kind === "request" ? call.request.deadlineMs : undefined;
        const delayMs = code === resultCodes.bodiesFull
            ? pickBodyRetryAfterMs(deps.random, deadlineMs)
            : retryAfterMs;
        return { kind: "failed", code, detail, retryAfterMs: isRefusal ? delayMs : undefined };
    }

    function requireTable(): RoutingTable {
        const table = routing();
        if (table === undefined) {
            throw new ResultError(resultCodes.notReady, "no configuration yet");
        }
        return table;
    }

    /** A newer configuration may contain a route or key that an outdated copy lacks, so the client should retry. */
    function notReadyIfOutdated(error: unknown): unknown {
        const isOutdated = deps.routingAgeMs() > maxRoutingAgeMs;
        const isUnknown = codeOf(error) === resultCodes.unknownRoute
            || codeOf(error) === resultCodes.unknownKey;
        return isOutdated && isUnknown
            ? new ResultError(resultCodes.notReady, "the configuration here may be out of date")
            : error;
    }

    async function handleRequest(request: ClientRequest, signal: AbortSignal): Promise<ClientAnswer> {
        const table = requireTable();
        const route = requireRoute(table, request);
        const team = requireCaller(table, request.credential, route.allowsAnonymous);
        return route.kind === "rollout" && request.method === "POST"
            ? batchJobs.accept(requireRequestId(request), team?.team, request, table, signal)
            : forwardRequest(request, team, route, table, signal);
    }

    /**
     * The path of a batch job call names a batch job and no route, so any anonymous rollout route of the host permits
     * an anonymous caller; batch jobs submitted through such a route have no team.
     */
    function callerOfBatchJobCall(
        { host, credential }: { host: string; credential: Credential; },
    ): TeamId | undefined {
        const table = requireTable();
        const isOpen = table.routes.some(route =>
            route.kind === "rollout" && route.allowsAnonymous && matchesHost(route, host)
        );
        return requireCaller(table, credential, isOpen)?.team;
    }

    /** Rejects with `notReady` while there is no configuration, because callers cannot be identified. */
    async function handleBatchJobCall(
        call: Exclude<ClientCall, { kind: "request"; }>,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const caller = callerOfBatchJobCall(call);
        return match(call)
            .with(
                { kind: "readLot" },
                ({ batchJobId: id, after, waitMs }) => batchJobs.read(id, caller, after, waitMs, signal),
            )
            .with({ kind: "readItem" }, ({ batchJobId: id, item }) => batchJobs.readItem(id, caller, item))
            .with({ kind: "endLot" }, ({ batchJobId: id }) => batchJobs.end(id, caller))
            .exhaustive();
    }

    function dispatch(call: ClientCall, signal: AbortSignal): Promise<ClientAnswer> {
        return call.kind === "request"
            ? handleRequest(call.request, signal)
            : handleBatchJobCall(call, signal);
    }

    const subjectOf = (call: ClientCall): string | undefined =>
        call.kind === "request" ? call.request.requestId : call.batchJobId;

    return {
        answer: async (call, signal) => {
            const startedAtMs = clock.monotonicMs();
            const answer = await dispatch(call, signal).catch((error: unknown) =>
                fail(notReadyIfOutdated(error), call)
            );
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
        isReady: () => {
            const hasStore = deps.storeSilentMs() < storeSilenceMs;
            return !isLeaving && hasStore && isInformed(deps);
        },
        markNotReady: () => {
            isLeaving = true;
        },
    };
}
