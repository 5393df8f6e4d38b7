import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, expect, test } from "vitest";
import { answerInTurn } from "./answerInTurn.js";

interface Held {
    request: IncomingMessage;
    response: ServerResponse;
}

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

async function serve(options?: Parameters<typeof answerInTurn>[1]) {
    const held: Held[] = [];
    const server = createServer(
        answerInTurn((request, response) => void held.push({ request, response }), options),
    );
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => {
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    function send(count: number) {
        const socket = connect(port, "127.0.0.1");
        closers.push(() => socket.destroy());
        let received = "";
        socket.on("error", () => undefined);
        socket.on("data", data => (received += data.toString("latin1")));
        const requests = Array.from(
            { length: count },
            (_, index) => `GET /${index} HTTP/1.1\r\nhost: a\r\n\r\n`,
        );
        socket.write(requests.join(""));
        return { socket, received: () => received };
    }
    async function until(isTrue: () => boolean): Promise<void> {
        while (!isTrue()) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }
    return { held, send, until };
}

test("pipelined requests are handled one after the other, and answered in their order", async () => {
    // Guards against a connection that has thousands of requests in flight.
    const { held, send, until } = await serve();
    const client = send(3);
    const other = send(1);
    await until(() => held.length === 2);
    held.find(each => each.request.socket.remotePort === other.socket.localPort)!.response.end("other");
    for (let index = 0; index < 3; index++) {
        const isOwn = ({ request }: Held): boolean => request.url === `/${index}`;
        await until(() => held.some(each => isOwn(each) && !each.response.writableEnded));
        held.find(each => isOwn(each) && !each.response.writableEnded)!.response.end(`answer ${index}`);
    }
    await until(() => client.received().includes("answer 2"));
    expect(client.received().match(/answer \d/gu)).toEqual(["answer 0", "answer 1", "answer 2"]);
    expect(held).toHaveLength(4);
});

test("a connection with too many waiting requests is closed, and none of those is handled", async () => {
    // Guards against requests that wait on a connection and exhaust the memory of the process.
    let closed = 0;
    const { held, send, until } = await serve({ maxWaitingPerConnection: 5, onClosed: () => closed++ });
    const client = send(1_000);
    await until(() => client.socket.destroyed);
    expect([held.length, closed]).toEqual([1, 1]);
    send(1);
    await until(() => held.length === 2);
});

test("the requests that wait on all connections together are limited", async () => {
    const { held, send, until } = await serve({ maxWaiting: 4 });
    const first = send(4);
    await until(() => held.length === 1);
    const second = send(3);
    await until(() => second.socket.destroyed);
    first.socket.destroy();
    // What waited on a connection that has ended is not counted any more.
    await until(() => held[0]!.response.destroyed);
    const third = send(5);
    await until(() => held.length === 3);
    expect(third.socket.destroyed).toBe(false);
});
