import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { expect, test } from "vitest";
import { breakOffResponse } from "./breakOffResponse.js";

test.each(["1.0", "1.1"])(
    "a client of HTTP/%s does not take a response that is broken off for a whole one",
    async version => {
        // Guards against a part of an answer that ends like a whole one: without chunks, a close is the end of the body.
        const server = createServer((_request, response) => {
            response.writeHead(200, { "content-type": "text/plain" });
            response.write("half");
            setTimeout(() => breakOffResponse(response), 30);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        let received = "";
        let error: string | undefined;
        client.on("data", chunk => received += String(chunk));
        client.on("error", ({ message }) => error = message);
        client.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
        await new Promise(resolve => client.once("close", resolve));
        server.close();
        const isChunked = /transfer-encoding: chunked/i.test(received);
        const isEnded = isChunked ? received.endsWith("0\r\n\r\n") : error === undefined;
        expect([isChunked, isEnded]).toEqual([version === "1.1", false]);
    },
);
