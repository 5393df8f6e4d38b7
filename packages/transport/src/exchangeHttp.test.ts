import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { readFileSync } from "node:fs";
import { Agent } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { TLSSocket } from "node:tls";
import { expect, test } from "vitest";
import { exchangeHttp } from "./exchangeHttp.js";
import { readFullBody } from "./readFullBody.js";

type HttpCall = Parameters<typeof exchangeHttp>[0];

async function exchange(answer: string, over: Partial<HttpCall> = {}) {
    const server = createServer(connection => {
        connection.on("error", () => {});
        connection.once("data", () => connection.write(answer));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const agent = new Agent({ keepAlive: true });
    const outcome = await exchangeHttp({
        clock: createSystemClock(),
        agent,
        host: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        method: "GET",
        path: "/",
        headers: {},
        body: undefined,
        signal: new AbortController().signal,
        timeoutMs: 2_000,
        ...over,
    });
    agent.destroy();
    server.close();
    return outcome.kind === "broken" && outcome.isMalformed ? "broken, malformed" : outcome.kind;
}

test("a request that can't be sent has certainly not been written", async () => {
    // Guards against a rejection, which nobody handles: port and path come from entries of samplers and from callers.
    const kinds = [
        await exchange("", { port: 70_000 }),
        await exchange("", { path: "/with space" }),
        await exchange("", { headers: { name: "line\nfeed" } }),
        await exchange("", { method: "NO METHOD" }),
    ];
    expect(kinds).toEqual(["notWritten", "notWritten", "notWritten", "notWritten"]);
});

test("an answer that switches protocols ends the exchange", async () => {
    // Guards against an exchange that never ends, and an attempt whose slot is never released.
    const kind = await exchange(
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    );
    expect(kind).toBe("broken, malformed");
});

test("an exchange ends at bytes that are no response, and after too many informational responses", async () => {
    // Guards against a request that is held for as long as its sampler sends informational responses.
    const early = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    expect([
        await exchange("no response"),
        await exchange(early.repeat(40)),
        await exchange(early.repeat(16) + whole),
    ]).toEqual(["broken, malformed", "broken, malformed", "answered"]);
});

const halfSent = {
    "no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
    "no length, nothing sent": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\nhalf",
    "a length": "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf",
    "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
};
const wholeSent = {
    "no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalfhalf",
    "a length": "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalfhalf",
    "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalfhalf\r\n0\r\n\r\n",
    "no body": "HTTP/1.1 204 No Content\r\n\r\n",
};

interface Reading {
    /** What the server does after it has sent its bytes. */
    end?: (connection: Socket) => void;
    endDelayMs?: number;
    timeoutMs?: number;
    signal?: AbortSignal;
    /** Before the body is read. */
    pauseMs?: number;
    isSecure?: boolean;
}

const lastingMs = 5_000;
const shortMs = 40;
const readKeyFile = (name: string): Buffer =>
    readFileSync(new URL(`../../tls/src/testing/${name}.pem`, import.meta.url));

/** Returns how the body of an answer ends for its reader. */
async function readEnd(answer: string, reading: Reading): Promise<string> {
    const {
        end,
        endDelayMs = shortMs,
        timeoutMs = lastingMs,
        signal = new AbortController().signal,
        pauseMs = 0,
    } = reading;
    const isSecure = reading.isSecure === true;
    const respond = (raw: Socket, stream: Socket): void => {
        stream.on("error", () => {});
        stream.once("data", () => {
            stream.write(answer);
            if (endDelayMs === 0) {
                end?.(raw);
            }
            else {
                setTimeout(() => end?.(raw), endDelayMs);
            }
        });
    };
    const secure = { key: readKeyFile("first.key"), cert: readKeyFile("first.cert"), isServer: true };
    const server = createServer(raw => {
        raw.on("error", () => {});
        respond(raw, isSecure ? new TLSSocket(raw, secure) : raw);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const agent = isSecure
        ? new HttpsAgent({ ca: readKeyFile("authority.cert"), checkServerIdentity: () => undefined })
        : new Agent({ keepAlive: true });
    const target = { host: "127.0.0.1", port: (server.address() as AddressInfo).port, path: "/" };
    const call = { ...target, agent, method: "GET", headers: {}, body: undefined, signal, timeoutMs };
    const exchanged = await exchangeHttp({ clock: createSystemClock(), ...call });
    await sleep(pauseMs);
    const ended = exchanged.kind !== "answered"
        ? exchanged.kind
        : await readFullBody(exchanged.body, 64_000_000).then(
            body => `whole, ${body.length} bytes`,
            () => "cut short",
        );
    agent.destroy();
    server.close();
    return ended;
}

const endings: Record<string, () => Reading> = {
    "the connection is reset": () => ({ end: connection => connection.resetAndDestroy() }),
    "the reset of its connection arrives with its last bytes": () => ({
        end: connection => connection.resetAndDestroy(),
        endDelayMs: 0,
    }),
    "the connection is reset before the body is read": () => ({
        end: connection => connection.resetAndDestroy(),
        pauseMs: 3 * shortMs,
    }),
    "its time limit is reached": () => ({ timeoutMs: 2 * shortMs }),
    "its caller gives it up": () => ({ signal: AbortSignal.timeout(2 * shortMs) }),
};

test.each(Object.keys(endings))("an answer that has not ended when %s is cut short", async ending => {
    // Guards against a part of an answer that is taken for all of it: without a length, Node ends it as complete.
    const ends = await Promise.all(
        Object.values(halfSent).map(answer => readEnd(answer, endings[ending]!())),
    );
    expect(ends).toEqual(Object.values(halfSent).map(() => "cut short"));
});

test("over TLS, an answer that is reset or given up is cut short", async () => {
    const isSecure = true;
    const read = (reading: Reading): Promise<string> =>
        readEnd(halfSent["no length"], { isSecure, ...reading });
    expect({
        reset: await read({ end: connection => connection.resetAndDestroy() }),
        givenUp: await read({ timeoutMs: 4 * shortMs }),
        endedBelow: await read({ end: connection => connection.end() }),
    }).toEqual({ reset: "cut short", givenUp: "cut short", endedBelow: "cut short" });
});

test("an answer is whole if its sender ended it, whatever follows", async () => {
    const whole = Object.values(wholeSent);
    const closed = await Promise.all(whole.map(answer => readEnd(answer, { end: socket => socket.end() })));
    const paused = await Promise.all(
        whole.map(answer => readEnd(answer, { end: socket => socket.end(), pauseMs: 3 * shortMs })),
    );
    const [, ...delimited] = whole;
    const followed = await Promise.all(delimited.map(answer => readEnd(`${answer}more`, {})));
    const reset = await Promise.all(
        delimited.map(answer =>
            readEnd(answer, { end: socket => socket.resetAndDestroy(), pauseMs: 3 * shortMs })
        ),
    );
    expect({ closed, paused, followed, reset }).toMatchInlineSnapshot(`
      {
        "closed": [
          "whole, 8 bytes",
          "whole, 8 bytes",
          "whole, 8 bytes",
          "whole, 0 bytes",
        ],
        "followed": [
          "whole, 8 bytes",
          "whole, 8 bytes",
          "whole, 0 bytes",
        ],
        "paused": [
          "whole, 8 bytes",
          "whole, 8 bytes",
          "whole, 8 bytes",
          "whole, 0 bytes",
        ],
        "reset": [
          "whole, 8 bytes",
          "whole, 8 bytes",
          "whole, 0 bytes",
        ],
      }
    `);
});

test("chunks that Node's parser does not recognize are not taken for a body", async () => {
    // Guards against the framing of chunks in a text: behind the coding, the parser understands spaces, but no tab.
    const answerWith = (blank: string): string =>
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked${blank}\r\n\r\n4\r\nhalf\r\n0\r\n\r\n`;
    const end = (socket: Socket): void => void socket.end();
    expect([await readEnd(answerWith(" "), { end }), await readEnd(answerWith("\t"), { end })])
        .toEqual(["whole, 4 bytes", "cut short"]);
});

test("a body that its reader leaves unread ends when the exchange is given up", async () => {
    // Guards against a reader that waits forever: a paused response that was received whole emits no event then.
    const large = `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${"x".repeat(400_000)}`;
    const end = (socket: Socket): void => void socket.end();
    expect(await readEnd(large, { end, pauseMs: 4 * shortMs, timeoutMs: 2 * shortMs })).toBe("cut short");
    expect(await readEnd(large, { end, pauseMs: 2 * shortMs })).toBe("whole, 400000 bytes");
});
