import type { Clock } from "@auburnarch/types/Clock";
import type { Server } from "node:http";

const idleCloseIntervalMs = 25;

/**
 * Stops listening and resolves when all connections are closed. Each is closed as soon as it is idle; a client that
 * keeps using its connection would otherwise keep the server open.
 */
export async function closeServer(server: Server, clock: Clock): Promise<void> {
    const closed = new Promise<void>(resolve => void server.close(() => resolve()));
    server.closeIdleConnections();
    let cancel = clock.startTimer(idleCloseIntervalMs, function closeIdle() {
        server.closeIdleConnections();
        cancel = clock.startTimer(idleCloseIntervalMs, closeIdle);
    });
    await closed;
    cancel();
}
