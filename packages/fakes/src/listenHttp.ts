import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import type { HttpServerHandle } from "./HttpServerHandle.js";

const loopback = "127.0.0.1";

/** Listens on a port of the loopback address; with port 0 the system picks a free one. */
export async function listenHttp(listener: RequestListener, port: number): Promise<HttpServerHandle> {
    const server = createServer({ keepAlive: true, noDelay: true }, listener);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, loopback, resolve);
    });
    return {
        port: (server.address() as AddressInfo).port,
        close: () =>
            new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}
