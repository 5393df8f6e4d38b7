import { createPeerServer } from "@auburnarch/entry/createPeerServer";
import { createBodyBudget } from "@auburnarch/overload/createBodyBudget";
import { readBoundedBody } from "@auburnarch/overload/readBoundedBody";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { RoleContext } from "./RoleContext.js";

interface ServedInternal {
    port: number;
    close(): void;
}

/** A relayed write holds a value of the store, of at most 1,048,576 bytes, and its envelope. */
const maxRpcBytes = 1_179_648;
const maxHeldRpcBytes = 33_554_432;

/** Serves metrics and calls of peers on the first internal port, and on the metrics port if one is set. */
export async function serveInternal(
    { settings, logger, metrics }: RoleContext,
    receive: (method: string, params: unknown) => Promise<unknown>,
): Promise<ServedInternal> {
    const peers = createPeerServer({ receive }, (code, error) => {
        logger.warn("peerCallFailed", { code: code.number, name: code.name, detail: String(error) });
    });

    const bodies = createBodyBudget({ maxHeldBytes: maxHeldRpcBytes });

    async function answer(
        message: IncomingMessage,
        response: ServerResponse,
    ): Promise<{ type: string; text: string; }> {
        if (message.method === "GET") {
            return { type: "text/plain; version=0.0.4", text: await metrics.render() };
        }
        const body = await readBoundedBody(bodies, message, response, maxRpcBytes);
        const result = await peers.receive(JSON.parse(Buffer.from(body).toString("utf8")));
        return { type: "application/json", text: JSON.stringify(result) };
    }

    async function handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { type, text } = await answer(message, response);
        response.writeHead(200, { "content-type": type, "content-length": Buffer.byteLength(text) });
        response.end(text);
    }

    async function listen(port: number): Promise<Server> {
        const server = createServer((message, response) => {
            handle(message, response).catch((error: unknown) => {
                logger.warn("internalCallRefused", { detail: String(error) });
                response.writeHead(400);
                response.end();
            });
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, settings.internalHost, resolve);
        });
        return server;
    }

    /** If the metrics port is in use, the process runs without it, because nothing but monitoring depends on it. */
    async function listenForMetrics(port: number): Promise<Server | undefined> {
        try {
            return await listen(port);
        }
        catch (error) {
            logger.warn("metricsNotServed", { port, detail: String(error) });
            return undefined;
        }
    }

    const [port] = settings.internalPorts;
    const { metricsPort } = settings;
    const servers = [await listen(port)];
    const metricsServer = metricsPort === undefined ? undefined : await listenForMetrics(metricsPort);
    if (metricsServer !== undefined) {
        servers.push(metricsServer);
    }
    return {
        port,
        close: () => {
            for (const server of servers) {
                server.close();
                server.closeAllConnections();
            }
        },
    };
}
