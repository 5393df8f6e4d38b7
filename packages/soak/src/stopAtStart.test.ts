import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { findFreePort } from "@auburnarch/platform/testing/findFreePort";
import { mkdtemp, rm } from "node:fs/promises";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { createProgram } from "./createProgram.js";

const clock = createSystemClock();
const rounds = 3;

/** Sends a request on a new connection; resolves with the status line, "cut", or "refused" before a connection. */
function request(port: number, onConnected: () => void): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        let isConnected = false;
        const socket = connect(port, "127.0.0.1", () => {
            isConnected = true;
            socket.write("GET /tiles/x HTTP/1.1\r\nhost: a.example\r\n\r\n");
            onConnected();
        });
        socket.on("data", data => {
            received += data.toString();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            const unanswered = isConnected ? "cut" : "refused";
            resolve(received === "" ? unanswered : received.slice(0, received.indexOf("\r\n")));
        });
    });
}

test("a gateway stopped while it starts answers the requests that it has accepted", async () => {
    // Guards against a request cut off because the gateway listens before it handles SIGTERM.
    const folder = await mkdtemp(join(tmpdir(), "auburnarch-stop-"));
    const clientPort = await findFreePort();
    const gateway = await createProgram(clock, {
        name: "front-1",
        role: "gateway",
        folder,
        storePorts: [await findFreePort()],
        usagePort: await findFreePort(),
        clientPort,
        readyPort: await findFreePort(),
        internalPort: await findFreePort(),
    });
    try {
        const replies: string[] = [];
        for (let round = 0; round < rounds; round++) {
            gateway.start();
            const ended: Promise<void>[] = [];
            let reply = "refused";
            while (reply === "refused") {
                reply = await request(clientPort, () => ended.push(gateway.end("SIGTERM")));
            }
            replies.push(reply);
            await Promise.all(ended);
        }
        expect(replies).toEqual(Array.from({ length: rounds }, () => "HTTP/1.1 503 Service Unavailable"));
        expect(gateway.lines().filter(line => line.includes("event=stopped")).length).toBe(rounds);
    }
    finally {
        await gateway.end("SIGKILL");
        await rm(folder, { recursive: true, force: true });
    }
});
