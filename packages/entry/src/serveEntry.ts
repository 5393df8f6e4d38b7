import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { answerInTurn } from "@auburnarch/overload/answerInTurn";
import { createBodyBudget } from "@auburnarch/overload/createBodyBudget";
import { endResponse } from "@auburnarch/overload/endResponse";
import { limitConnections } from "@auburnarch/overload/limitConnections";
import { closeServer } from "@auburnarch/transport/closeServer";
import type { Clock } from "@auburnarch/types/Clock";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { TeamId } from "@auburnarch/types/TeamId";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { match } from "ts-pattern";
import { answerClientErrors } from "./answerClientErrors.js";
import { createPeerServer } from "./createPeerServer.js";
import type { Entry } from "./Entry.js";
import type { EntryRoute } from "./EntryRoute.js";
import { forwardHeaders } from "./forwardHeaders.js";
import { matchesDigest } from "./matchesDigest.js";
import { matchRoute } from "./matchRoute.js";
import { parseJson } from "./parseJson.js";
import { parseTrainerBody } from "./parseTrainerBody.js";
import { readBody } from "./readBody.js";
import { readCallerRequest } from "./readCallerRequest.js";
import { sendFailure } from "./sendFailure.js";
import { sendJson } from "./sendJson.js";
import type { ServeEntryOptions } from "./ServeEntryOptions.js";
import { writeAnswer } from "./writeAnswer.js";

const bearer = "Bearer ";
const maxPeerBodyBytes = 64 * 1024 * 1024;
const maxOperatorBodyBytes = 1024 * 1024;
const headersTimeoutMs = 10_000;
const timeoutCheckMs = 1_000;
const defaultBodyPoolBytes = 128 * 1024 * 1024;
/** Share of the body pool that one team may use, so that room remains for other teams. */
const maxTeamBodyShare = 0.5;

interface Served {
    port: number;
    entry: Entry;
    /** Stops listening and resolves when all connections are closed. */
    close(): Promise<void>;
}

const tokenOf = (request: IncomingMessage): string | undefined => {
    const header = request.headers.authorization;
    return header?.startsWith(bearer) ? header.slice(bearer.length) : undefined;
};

/** Returns a signal that is aborted if the caller disconnects before its answer is complete. */
function disconnectSignal(response: ServerResponse): AbortSignal {
    const disconnected = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            disconnected.abort();
        }
    });
    return disconnected.signal;
}

function requireToken(request: IncomingMessage, ...digests: (string | undefined)[]): void {
    const token = tokenOf(request);
    if (!digests.some(digest => digest !== undefined && matchesDigest(token, digest))) {
        throw new ResultError(resultCodes.unauthenticated);
    }
}

function requirePeer(request: IncomingMessage, options: ServeEntryOptions): void {
    requireToken(request, options.clusterTokenDigest, options.previousClusterTokenDigest);
    if (options.isPeer?.(request) === false) {
        throw new ResultError(resultCodes.unauthenticated, "certificate of the authority");
    }
}

/** Returns the team of a forwarded request. Only an entry may act for a team without the team's token. */
function forwardedTeam(request: IncomingMessage, options: ServeEntryOptions): TeamId {
    requirePeer(request, options);
    const team = request.headers[forwardHeaders.team];
    if (typeof team !== "string" || team === "") {
        throw new ResultError(resultCodes.badRequest, `${forwardHeaders.team}: expected a team`);
    }
    return team as TeamId;
}

function refuse(clock: Clock, response: ServerResponse, error: unknown): void {
    sendFailure(
        response,
        error,
        (status, headers, body) => endResponse(clock, response, status, headers, body),
    );
}

async function listen(options: ServeEntryOptions): Promise<Server> {
    const server = (options.createServer ?? createServer)({
        requestTimeout: options.requestTimeoutMs,
        headersTimeout: Math.min(headersTimeoutMs, options.requestTimeoutMs),
        connectionsCheckingInterval: timeoutCheckMs,
        // The host header is not used, and Node's own refusal has no result code.
        requireHostHeader: false,
    });
    limitConnections(server, { maxConnections: options.maxConnections });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, resolve);
    });
    return server;
}

/**
 * Serves an entry over HTTP/1.1: callers, trainers, operators, peers, metrics and health checks on one port. The entry
 * is created when the port is known, because it announces its address to others.
 */
export async function serveEntry(
    makeEntry: (port: number) => Entry,
    options: ServeEntryOptions,
): Promise<Served> {
    const { logger } = options;
    const server = await listen(options);
    const { port } = server.address() as AddressInfo;
    const entry = makeEntry(port);

    function logInternal(code: ResultCode, error: unknown): void {
        if (code === resultCodes.internal) {
            const fault = error instanceof Error ? error.stack : String(error);
            logger.error("requestFault", { code: code.number, fault });
        }
    }

    const peers = createPeerServer(entry, logInternal);
    const bodyPoolBytes = options.maxBodyPoolBytes ?? defaultBodyPoolBytes;
    const teamBudget = createBodyBudget({ maxHeldBytes: bodyPoolBytes, maxOwnerShare: maxTeamBodyShare });
    const peerBudget = createBodyBudget({ maxHeldBytes: bodyPoolBytes });

    async function callService(
        route: EntryRoute & { kind: "service"; },
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const forwarded = request.headers[forwardHeaders.forwarded] === "1";
        const team = forwarded ? forwardedTeam(request, options) : entry.authenticate(tokenOf(request));
        const body = await readBody(request, response, entry.maxBodyBytes(), teamBudget, team);
        const call = { ...readCallerRequest(request, team, route.service, route.path, body), forwarded };
        await writeAnswer(options.clock, response, await entry.call(call, disconnectSignal(response)));
    }

    async function handleTrainerCall(
        route: EntryRoute,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const team = entry.authenticate(tokenOf(request));
        if (route.kind === "readGroups") {
            sendJson(response, 200, await entry.handleTrainerCall(team, route, false));
            return;
        }
        if (route.kind === "jobStatus") {
            sendJson(
                response,
                200,
                await entry.handleTrainerCall(team, { kind: "status", job: route.job }, false),
            );
            return;
        }
        const body = parseJson(await readBody(request, response, maxPeerBodyBytes, teamBudget, team));
        sendJson(
            response,
            200,
            await entry.handleTrainerCall(team, parseTrainerBody(route, body), false) ?? {},
        );
    }

    async function operate(
        route: EntryRoute & { kind: "operator"; },
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        requireToken(request, options.operatorTokenDigest);
        const body = request.method === "POST"
            ? parseJson(
                await readBody(request, response, maxOperatorBodyBytes, peerBudget, "operators"),
            )
            : undefined;
        sendJson(response, 200, await entry.operate(route.action, route.query, body) ?? {});
    }

    async function receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
        requirePeer(request, options);
        const body = parseJson(
            await readBody(request, response, maxPeerBodyBytes, peerBudget, "peers"),
        );
        sendJson(response, 200, await peers.receive(body));
    }

    const handle = (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const route = matchRoute(request.method ?? "GET", request.url ?? "/");
        return match(route)
            .with({ kind: "service" }, found => callService(found, request, response))
            .with(
                { kind: "openStep" },
                { kind: "publishWeights" },
                found => handleTrainerCall(found, request, response),
            )
            .with(
                { kind: "readGroups" },
                { kind: "jobStatus" },
                found => handleTrainerCall(found, request, response),
            )
            .with({ kind: "operator" }, found => operate(found, request, response))
            .with({ kind: "rpc" }, () => receive(request, response))
            .with({ kind: "teamUsage" }, async () => {
                sendJson(response, 200, await entry.teamUsage(entry.authenticate(tokenOf(request))));
            })
            .with({ kind: "health" }, async () => sendJson(response, 200, { healthy: true }))
            .with({ kind: "ready" }, async () => {
                if (!entry.isReady()) {
                    throw new ResultError(resultCodes.notReady, "", 1_000);
                }
                sendJson(response, 200, { ready: true });
            })
            .with({ kind: "metrics" }, async () => {
                response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
                response.end(await entry.renderMetrics());
            })
            .with({ kind: "none" }, async () => {
                throw new ResultError(
                    resultCodes.notFound,
                    `${request.method} ${request.url?.slice(0, 200)}`,
                );
            })
            .exhaustive();
    };

    answerClientErrors(server);
    server.on(
        "request",
        answerInTurn((request, response) => {
            handle(request, response).catch(error => {
                logInternal(codeOf(error), error);
                refuse(options.clock, response, error);
            });
        }),
    );
    return {
        port,
        entry,
        close: () => closeServer(server, options.clock),
    };
}
