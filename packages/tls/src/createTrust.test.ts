import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createLogger } from "@auburnarch/log/createLogger";
import { once } from "node:events";
import { copyFile, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import type { ServerResponse } from "node:http";
import { Agent, request as httpsRequest } from "node:https";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { TLSSocket } from "node:tls";
import { fileURLToPath } from "node:url";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createTrust } from "./createTrust.js";
import type { Trust } from "./Trust.js";

const fixture = (name: string): string => fileURLToPath(new URL(`./testing/${name}.pem`, import.meta.url));
const fixtureFiles = (name: string, ca = "authority") => ({
    certPath: fixture(`${name}.cert`),
    keyPath: fixture(`${name}.key`),
    caPath: fixture(`${ca}.cert`),
});

let folder: string;
const cleanups: (() => unknown)[] = [];
const lines: string[] = [];
const clock = createFakeClock();
const logger = createLogger(clock, line => lines.push(line));

async function openTrust(files: Parameters<typeof createTrust>[0]): Promise<Trust> {
    const trust = await createTrust(files, { clock, logger });
    cleanups.push(trust.stop);
    return trust;
}

/** Serves the common name of the client's certificate, and a stream at `/stream`. */
async function serve(trust: Trust) {
    const streams: ServerResponse[] = [];
    const server = trust.createServer({ keepAlive: true });
    server.on("request", (request, response) => {
        if (request.url === "/stream") {
            response.write("begun ");
            streams.push(response);
            return;
        }
        const { subject } = (request.socket as TLSSocket).getPeerCertificate();
        response.end(trust.isPeer(request) ? `peer ${subject.CN}` : "nobody");
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    cleanups.push(() => server.close(), () => server.closeAllConnections());
    return { port: (server.address() as AddressInfo).port, streams };
}

interface ServerReply {
    text: string;
    /** Common name of the server's certificate. */
    server: string;
}

function get(port: number, agent: unknown, path = "/"): Promise<ServerReply> {
    return new Promise((resolve, reject) => {
        const sent = httpsRequest({ host: "127.0.0.1", port, path, agent: agent as Agent }, answer => {
            const server = (answer.socket as TLSSocket).getPeerCertificate().subject.CN;
            let text = "";
            answer.on("data", chunk => {
                text += String(chunk);
            });
            answer.on("end", () => resolve({ text, server: String(server) }));
            answer.on("error", reject);
        });
        sent.on("error", reject);
        sent.end();
    });
}

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "auburnarch-trust-"));
    lines.length = 0;
});

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
    await rm(folder, { recursive: true, force: true });
});

test("only an unexpired certificate of the authority makes a client a peer", async () => {
    const { port } = await serve(await openTrust(fixtureFiles("first")));
    const ca = await readFile(fixture("authority.cert"));
    const replies: string[] = [];
    for (const name of ["second", "expired", "stranger"]) {
        const agent = (await openTrust(fixtureFiles(name))).createAgent({});
        replies.push((await get(port, agent)).text);
    }
    replies.push((await get(port, new Agent({ ca }))).text);
    expect(replies).toEqual(["peer second", "nobody", "nobody", "nobody"]);
});

test("a process does not connect to a server with an expired certificate or one of another authority", async () => {
    // Guards against tokens and prompts that are sent to a process outside the system.
    const agent = (await openTrust(fixtureFiles("first"))).createAgent({});
    for (const name of ["stranger", "expired"]) {
        const { port } = await serve(await openTrust(fixtureFiles(name)));
        await expect(get(port, agent)).rejects.toThrow(/certificate|self-signed/u);
    }
});

async function installFixture(name: string, parts = ["cert", "key"]): Promise<void> {
    await Promise.all(parts.map(part => copyFile(fixture(`${name}.${part}`), join(folder, part))));
}

const installedFiles = () => ({
    certPath: join(folder, "cert"),
    keyPath: join(folder, "key"),
    caPath: join(folder, "ca"),
});

/** Advances the clock until an event has been logged `times` times. */
async function advanceUntilLogged(event: string, times: number): Promise<void> {
    while (lines.filter(line => line.includes(`event=${event} `)).length < times) {
        await clock.advance(10_000);
    }
}

test("a replaced certificate is used for new connections while requests in flight continue", async () => {
    // Guards against a certificate rotation that cuts every connection.
    await installFixture("first");
    await copyFile(fixture("authority.cert"), join(folder, "ca"));
    const trust = await openTrust(installedFiles());
    const { port, streams } = await serve(trust);
    const agent = trust.createAgent({ keepAlive: true });
    cleanups.push(() => agent.destroy());
    const streamed = get(port, agent, "/stream");
    expect(await get(port, agent)).toEqual({ text: "peer first", server: "first" });
    await installFixture("second");
    await advanceUntilLogged("certificateTaken", 2);
    expect(await get(port, trust.createAgent({}))).toEqual({ text: "peer second", server: "second" });
    streams[0]!.end("whole");
    expect(await streamed).toEqual({ text: "begun whole", server: "first" });
});

test("a new certificate is not used before its key is in place", async () => {
    // Guards against processes that load a mismatched pair and can no longer connect to any other.
    await installFixture("first");
    await copyFile(fixture("authority.cert"), join(folder, "ca"));
    const trust = await openTrust(installedFiles());
    const { port } = await serve(trust);
    await installFixture("second", ["cert"]);
    await advanceUntilLogged("certificateNotTaken", 1);
    expect(await get(port, trust.createAgent({}))).toEqual({ text: "peer first", server: "first" });
    await installFixture("second", ["key"]);
    await advanceUntilLogged("certificateTaken", 2);
    expect((await get(port, trust.createAgent({}))).server).toBe("second");
});

test("an authority is replaced by way of a file that contains the old and the new one", async () => {
    const both = `${await readFile(fixture("authority.cert"), "utf8")}${await readFile(
        fixture("otherAuthority.cert"),
        "utf8",
    )}`;
    await installFixture("first");
    await writeFile(join(folder, "ca"), both);
    const old = await openTrust(installedFiles());
    const { port } = await serve(old);
    const renewed = await openTrust({ ...fixtureFiles("stranger"), caPath: join(folder, "ca") });
    expect((await get(port, renewed.createAgent({}))).text).toBe("peer stranger");
    const { port: newPort } = await serve(renewed);
    expect((await get(newPort, old.createAgent({}))).text).toBe("peer first");
});

test("a process does not start with files that are missing or do not match", async () => {
    const broken = [
        { ...fixtureFiles("first"), keyPath: fixture("second.key") },
        { ...fixtureFiles("first"), caPath: join(folder, "none") },
        { ...fixtureFiles("first"), caPath: fixture("first.key") },
    ];
    for (const files of broken) {
        expect(await openTrust(files).catch(codeOf)).toBe(resultCodes.settingsInvalid);
    }
});
