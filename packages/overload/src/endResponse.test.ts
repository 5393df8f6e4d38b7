import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { expect, test } from "vitest";
import { endResponse } from "./endResponse.js";

const head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const chunk = `10000\r\n${"x".repeat(65_536)}\r\n`;

test("a client that sends on after a refusal receives the whole refusal", async () => {
    // Guards against a close with unread bytes, which resets the connection before the refusal is read.
    const server = createServer((request, response) => {
        request.once("data", () => {
            request.pause();
            endResponse(createSystemClock(), response, 413, {}, Buffer.from("too large"));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    let received = "";
    let error: Error | undefined;
    client.on("error", fault => (error = fault));
    // Reads only once everything is sent.
    client.pause();
    client.write(head);
    for (let sent = 0; sent < 100; sent++) {
        await new Promise<void>(resolve => client.write(chunk, () => resolve()));
    }
    client.on("data", data => (received += data.toString("latin1")));
    client.resume();
    await new Promise<void>(resolve => client.once("close", () => resolve()));
    server.close();
    expect(received).toMatch(/^HTTP\/1\.1 413 .*connection: close.*too large$/isu);
    expect(error).toBeUndefined();
});
