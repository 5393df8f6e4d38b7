import { readRequest } from "@auburnarch/collect/readRequest";
import { createPeerServer } from "@auburnarch/entry/createPeerServer";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { RoleContext } from "./RoleContext.js";

interface ServedInternal {
    port: number;
    close(): void;
}

const maxRpcBytes = 1_048_576;

/** Serves metrics and the calls of peers at the first of the internal ports. */
export async function serveInternal(
    { settings, logger, metrics }: RoleContext,
    receive: (method: string, params: unknown) => Promise<unknown>,
): Promise<ServedInternal> {
    const peers = createPeerServer({ receive }, (code, error) => {
        logger.warn("peerCallFailed", { code: code.number, name: code.name, detail: String(error) });
    });

    async function answer(message: IncomingMessage): Promise<{ type: string; text: string; }> {
        if (message.method === "GET") {
            return { type: "text/plain; version=0.0.4", text: await metrics.render() };
        }
        const body = Buffer.from(await readRequest(message, maxRpcBytes)).toString("utf8");
        const result = await peers.receive(JSON.parse(body));
        return { type: "application/json", text: JSON.stringify(result) };
    }

    async function handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { type, text } = await answer(message);
        response.writeHead(200, { "content-type": type, "content-length": Buffer.byteLength(text) });
        response.end(text);
    }

    const server = createServer((message, response) => {
        handle(message, response).catch((error: unknown) => {
            logger.warn("internalCallRefused", { detail: String(error) });
            response.writeHead(400);
            response.end();
        });
    });
    const [port] = settings.internalPorts;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, settings.internalHost, resolve);
    });
    return {
        port,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
