import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";

interface TurnOptions {
    /** Requests of one connection that may wait for the response of an earlier one. */
    maxWaitingPerConnection?: number;
    /** Requests of all connections that may wait so. */
    maxWaiting?: number;
    /** Called when a connection is closed because more of its requests wait. */
    onClosed?: () => void;
}

interface Waiting {
    request: IncomingMessage;
    response: ServerResponse;
}

const defaultMaxWaitingPerConnection = 64;
const defaultMaxWaiting = 1_024;

/**
 * Creates a listener that handles the requests of each connection one after the other, so that a client that pipelines
 * has no more of them in flight than one that does not. A connection with too many waiting requests is closed.
 */
export function answerInTurn(
    handle: (request: IncomingMessage, response: ServerResponse) => void,
    {
        maxWaitingPerConnection = defaultMaxWaitingPerConnection,
        maxWaiting = defaultMaxWaiting,
        onClosed = () => undefined,
    }: TurnOptions = {},
): RequestListener {
    /** Connections with a request in flight, and their later requests. */
    const queues = new WeakMap<Socket, Waiting[]>();
    let waiting = 0;

    function start(socket: Socket, { request, response }: Waiting): void {
        response.once("close", () => startNext(socket));
        handle(request, response);
    }

    function startNext(socket: Socket): void {
        const queue = queues.get(socket) ?? [];
        const next = socket.destroyed ? undefined : queue.shift();
        if (next === undefined) {
            queues.delete(socket);
            waiting -= queue.length;
            return;
        }
        waiting--;
        start(socket, next);
    }

    return (request, response) => {
        const { socket } = request;
        const queue = queues.get(socket);
        if (socket.destroyed) {
            // The parser goes on with what was read before the connection was closed.
            return;
        }
        if (queue === undefined) {
            queues.set(socket, []);
            start(socket, { request, response });
            return;
        }
        if (queue.length >= maxWaitingPerConnection || waiting >= maxWaiting) {
            onClosed();
            socket.destroy();
            return;
        }
        waiting++;
        queue.push({ request, response });
    };
}
