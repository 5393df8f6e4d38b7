import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { limitConnections } from "./limitConnections.js";

const maxConnections = 4;
const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const incomplete = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

async function serve() {
    const closed: string[] = [];
    const counts: number[] = [];
    const held: (() => void)[] = [];
    const server = createServer((message, response) => {
        message.resume();
        if (message.url === "/held") {
            held.push(() => response.end());
        }
        else {
            message.once("end", () => response.end("ok"));
        }
    });
    limitConnections(server, {
        maxConnections,
        onCount: count => counts.push(count),
        onClosed: state => closed.push(state),
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => {
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    async function open(bytes: string): Promise<Socket> {
        const before = counts.length;
        const socket = connect(port, "127.0.0.1");
        closers.push(() => socket.destroy());
        socket.on("error", () => undefined);
        socket.resume();
        await new Promise<void>(resolve => socket.once("connect", () => resolve()));
        if (bytes !== "") {
            socket.write(bytes);
        }
        while (counts.length === before) {
            await wait(1);
        }
        await wait(20);
        return socket;
    }
    return { open, closed, counts, held };
}

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

test("at the limit, silent connections are closed for new ones, then idle ones, then incomplete requests", async () => {
    // Guards against connections on which nothing runs and which keep all others out.
    const { open, closed, counts } = await serve();
    const first = await open(incomplete);
    const second = await open(request);
    const third = await open("");
    const fourth = await open("GET /held HTTP/1.1\r\nhost: a\r\n\r\n");
    const later = [await open("GET /held HTTP/1.1\r\nhost: a\r\n\r\n")];
    expect([closed, third.destroyed]).toEqual([["silent"], true]);
    later.push(await open("GET /held HTTP/1.1\r\nhost: a\r\n\r\n"));
    expect([closed.at(-1), second.destroyed]).toEqual(["idle", true]);
    later.push(await open("GET /held HTTP/1.1\r\nhost: a\r\n\r\n"));
    expect([closed.at(-1), first.destroyed]).toEqual(["receiving", true]);
    expect([fourth, ...later].some(socket => socket.destroyed)).toBe(false);
    expect(Math.max(...counts)).toBe(maxConnections);
});

test("connections with requests that run are kept, and a new one is closed", async () => {
    // Guards against requests that are cut off while they run.
    const { open, closed, held } = await serve();
    const running: Socket[] = [];
    for (let index = 0; index < maxConnections; index++) {
        running.push(await open(`GET /held HTTP/1.1\r\nhost: a\r\n\r\n${index === 0 ? incomplete : ""}`));
    }
    const socket = connect(running[0]!.remotePort!, "127.0.0.1");
    closers.push(() => socket.destroy());
    socket.on("error", () => undefined);
    await new Promise<void>(resolve => socket.resume().once("close", () => resolve()));
    expect([closed, running.some(each => each.destroyed)]).toEqual([["refused"], false]);
    held.forEach(end => end());
});
