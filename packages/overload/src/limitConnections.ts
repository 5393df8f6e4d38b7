import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

interface ConnectionLimitOptions {
    maxConnections: number;
    /** Called with the number of open connections whenever one is opened or closed. */
    onCount?: (connections: number) => void;
    /** Called when a connection is closed to stay below the limit. */
    onClosed?: (state: ClosedState) => void;
}

type ClosedState = "silent" | "idle" | "receiving" | "refused";

interface Connection {
    key: string;
    socket: Socket;
    /** The latest request, and the number of those that are not answered. */
    request: IncomingMessage | undefined;
    unanswered: number;
}

/** Identifies a connection also where TLS wraps its socket. */
const keyOf = ({ remoteAddress, remotePort }: Socket): string => `${remoteAddress}:${remotePort}`;

/**
 * Limits the open connections of a server. At the limit, a connection on which nothing runs is closed for a new one: one
 * that has sent no request, then one between two requests, then one whose request is incomplete, each time the oldest.
 * If there is none, the new connection is closed.
 */
export function limitConnections(
    server: Server,
    { maxConnections, onCount = () => undefined, onClosed = () => undefined }: ConnectionLimitOptions,
): void {
    const open = new Set<Connection>();
    const byKey = new Map<string, Connection>();
    const silent = new Set<Connection>();
    const idle = new Set<Connection>();
    const active = new Set<Connection>();

    function findReceiving(): Connection | undefined {
        for (const connection of active) {
            // An earlier request of the connection may run.
            if (connection.unanswered === 1 && connection.request?.complete === false) {
                return connection;
            }
        }
        return undefined;
    }

    const firstOf = (set: Set<Connection>): Connection | undefined => set.values().next().value;

    function findClosable(): { connection: Connection; state: ClosedState; } | undefined {
        const candidates = [
            { state: "silent", find: () => firstOf(silent) },
            { state: "idle", find: () => firstOf(idle) },
            { state: "receiving", find: findReceiving },
        ] as const;
        for (const { state, find } of candidates) {
            const connection = find();
            if (connection !== undefined) {
                return { connection, state };
            }
        }
        return undefined;
    }

    function forget(connection: Connection): void {
        [open, silent, idle, active].forEach(set => set.delete(connection));
        if (byKey.get(connection.key) === connection) {
            byKey.delete(connection.key);
        }
        onCount(open.size);
    }

    function onConnection(socket: Socket): void {
        if (open.size >= maxConnections) {
            const found = findClosable();
            onClosed(found?.state ?? "refused");
            if (found === undefined) {
                socket.destroy();
                return;
            }
            forget(found.connection);
            found.connection.socket.destroy();
        }
        const connection: Connection = { key: keyOf(socket), socket, request: undefined, unanswered: 0 };
        byKey.set(connection.key, connection);
        open.add(connection);
        silent.add(connection);
        onCount(open.size);
        socket.once("close", () => forget(connection));
    }

    function onRequest(request: IncomingMessage, response: ServerResponse): void {
        const connection = byKey.get(keyOf(request.socket));
        if (connection === undefined) {
            return;
        }
        silent.delete(connection);
        idle.delete(connection);
        active.add(connection);
        connection.request = request;
        connection.unanswered++;
        response.once("close", () => {
            connection.unanswered--;
            if (connection.unanswered === 0 && active.delete(connection)) {
                idle.add(connection);
            }
        });
    }

    server.prependListener("connection", onConnection);
    server.prependListener("request", onRequest);
}
