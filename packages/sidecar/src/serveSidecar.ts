import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createBodyBudget } from "@auburnarch/overload/createBodyBudget";
import { limitConnections } from "@auburnarch/overload/limitConnections";
import { closeServer } from "@auburnarch/transport/closeServer";
import { sidecarHeaders } from "@auburnarch/transport/sidecarHeaders";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createPlainHandler } from "./createPlainHandler.js";
import { createProbeHandler } from "./createProbeHandler.js";
import { createRpcHandler } from "./createRpcHandler.js";
import { createSampleHandler } from "./createSampleHandler.js";
import { createTokenCheck } from "./createTokenCheck.js";
import type { ServedSidecar } from "./ServedSidecar.js";
import type { ServeSidecarOptions } from "./ServeSidecarOptions.js";
import type { Sidecar } from "./Sidecar.js";
import { writeErrorAnswer } from "./writeErrorAnswer.js";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const defaultMaxBodyBytes = 8_388_608;
const maxHeldBodyBytes = 134_217_728;
const defaultMaxConnections = 4_096;
const defaultRequestTimeoutMs = 60_000;
const defaultHeadersTimeoutMs = 10_000;
const keepAliveTimeoutMs = 75_000;
const timeoutCheckMs = 1_000;
const maxHeaderBytes = 16_384;

/**
 * Serves a sidecar over HTTP: `/plain/…` requests, `POST /samples` (answered with JSON lines), `POST /rpc` (JSON-RPC),
 * probes and metrics. Bodies, headers, connections and the time a request may take to arrive are limited.
 */
export async function serveSidecar(sidecar: Sidecar, options: ServeSidecarOptions): Promise<ServedSidecar> {
    const maxBodyBytes = options.maxBodyBytes ?? defaultMaxBodyBytes;
    const incarnation = sidecar.report().incarnation;
    const { clock, logger } = options;
    const tokenChecks = [options.clusterTokenDigest, options.previousClusterTokenDigest]
        .filter(digest => digest !== undefined)
        .map(createTokenCheck);
    const bodies = createBodyBudget({ maxHeldBytes: maxHeldBodyBytes });
    const samples = createSampleHandler({ sidecar, clock, incarnation, maxBodyBytes, bodies });
    const plain = createPlainHandler({ sidecar, clock, incarnation, maxBodyBytes, bodies });
    const probes = createProbeHandler(sidecar, options.renderMetrics ?? (async () => ""));
    const rpc = createRpcHandler({ sidecar, incarnation, cancelSample: samples.cancel, bodies });

    function handlerOf(request: IncomingMessage): Handler | undefined {
        const url = request.url ?? "";
        if (url.startsWith("/plain/")) {
            return plain;
        }
        if (request.method === "POST" && url === "/samples") {
            return samples.handle;
        }
        return request.method === "POST" && url === "/rpc" ? rpc : undefined;
    }

    const server = (options.createServer ?? createServer)({
        connectionsCheckingInterval: timeoutCheckMs,
        headersTimeout: options.headersTimeoutMs ?? defaultHeadersTimeoutMs,
        requestTimeout: options.requestTimeoutMs ?? defaultRequestTimeoutMs,
        keepAliveTimeout: keepAliveTimeoutMs,
        maxHeaderSize: maxHeaderBytes,
        noDelay: true,
    });
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        if (probes(request, response)) {
            return;
        }
        if (options.isPeer?.(request) === false) {
            writeErrorAnswer(response, incarnation, resultCodes.unauthenticated, "certificate");
            return;
        }
        const token = request.headers[sidecarHeaders.clusterToken];
        if (tokenChecks.length > 0 && !tokenChecks.some(check => check(token))) {
            writeErrorAnswer(response, incarnation, resultCodes.unauthenticated, "cluster token");
            return;
        }
        const handler = handlerOf(request);
        if (handler === undefined) {
            writeErrorAnswer(response, incarnation, resultCodes.notFound, `${request.method} ${request.url}`);
            return;
        }
        handler(request, response);
    });
    limitConnections(server, { maxConnections: options.maxConnections ?? defaultMaxConnections });
    server.listen(options.port, options.host);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    logger.info("gateServed", { host: options.host, port });

    return {
        port,
        close: async graceful => {
            const closed = closeServer(server, clock);
            if (!graceful) {
                server.closeAllConnections();
            }
            await closed;
        },
    };
}
