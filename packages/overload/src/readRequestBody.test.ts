import { codeOf } from "@auburnarch/errors/codeOf";
import { createServer, IncomingMessage } from "node:http";
import { type AddressInfo, connect, Socket } from "node:net";
import { expect, test } from "vitest";
import { createBodyBudget } from "./createBodyBudget.js";
import { readRequestBody } from "./readRequestBody.js";

function createMessage(headers: Record<string, string>): IncomingMessage {
    const message = new IncomingMessage(new Socket());
    Object.assign(message.headers, headers);
    return message;
}

const openHold = (maxHeldBytes = 1_000) => createBodyBudget({ maxHeldBytes }).open();

const nameOf = (reading: Promise<Uint8Array>): Promise<string> =>
    reading.then(body => `${body.length} bytes`, (error: unknown) => codeOf(error).name);

test("a body is read until its bytes may no longer be held", async () => {
    const message = createMessage({ "transfer-encoding": "chunked" });
    const reading = nameOf(readRequestBody(message, 1_000, openHold(100)));
    message.push(Buffer.alloc(60));
    message.push(Buffer.alloc(60));
    expect([await reading, message.isPaused()]).toEqual(["bodiesFull", true]);
});

test("a body whose sender had disconnected before is broken, instead of awaited forever", async () => {
    // Guards against bytes that stay counted for a request that ended before its body was asked for.
    const message = createMessage({ "content-length": "60" });
    message.destroy();
    await new Promise(resolve => message.once("close", resolve));
    expect(await nameOf(readRequestBody(message, 1_000, openHold()))).toBe("connectionBroken");
});

const framings = {
    chunked: "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    length: "Content-Length: 8\r\n\r\nhalf",
};

test.each(["chunked", "length"] as const)("a body that its sender cuts is broken (%s)", async framing => {
    // Guards against a part of a request that is passed on as the whole.
    const ends = ["reset", "close", "half-close"].map(async end => {
        let onRead: (name: string) => void;
        const read = new Promise<string>(resolve => onRead = resolve);
        const server = createServer((message, response) => {
            void nameOf(readRequestBody(message, 1_000, openHold())).then(onRead).finally(() =>
                response.destroy()
            );
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        client.on("error", () => {});
        client.write(`POST / HTTP/1.1\r\nHost: a\r\n${framings[framing]}`, () => {
            setTimeout(() => {
                if (end === "reset") {
                    client.resetAndDestroy();
                }
                else if (end === "close") {
                    client.destroy();
                }
                else {
                    client.end();
                }
            }, 30);
        });
        const name = await read;
        server.close();
        return name;
    });
    expect(await Promise.all(ends)).toEqual(["connectionBroken", "connectionBroken", "connectionBroken"]);
});
