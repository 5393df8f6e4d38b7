import { encodeTestSampler } from "@auburnarch/platform/testing/encodeTestSampler";
import { testClientLimits } from "@auburnarch/platform/testing/testClientLimits";
import { wireHeaders } from "@auburnarch/platform/wireHeaders";
import { Agent, createServer, type IncomingMessage, request, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

/** As the platform sets it. */
const gracePeriodMs = 8_000;
const requestIntervalMs = 40;
const warmUpMs = 400;
/** How long the sampler works on a request, by the last part of its path. */
const worksMs = [150, 1_500, 3_000];
const timeoutMs = 10_000;
const pieceMs = 50;

const routeOf = (name: string, fields: Record<string, unknown>): Record<string, unknown> => ({
    name,
    "host": "a.example",
    "path-prefix": `/${name}/`,
    "kind": "non_idempotent",
    "service": "tiles",
    "timeout-ms": timeoutMs,
    ...fields,
});
const config = {
    version: 1,
    routes: [routeOf("plain", {}), routeOf("stream", { streaming: true })],
    services: [{ name: "tiles" }],
    limits: testClientLimits,
};

interface Outcome {
    /** What the client got: a status of a whole answer, or how its connection ended. */
    got: string;
    runs: number;
}

async function serveSampler() {
    const runs = new Map<string, number>();

    function answer(incoming: IncomingMessage, response: ServerResponse): void {
        const id = String(incoming.headers[wireHeaders.requestId]);
        runs.set(id, (runs.get(id) ?? 0) + 1);
        incoming.resume();
        const endsAtMs = performance.now() + Number(incoming.url!.split("/").at(-1));
        const head = { [wireHeaders.requestId]: id, [wireHeaders.signature]: "proof" };
        if (incoming.url!.startsWith("/plain/")) {
            setTimeout(() => response.writeHead(200, head).end("end"), endsAtMs - performance.now());
            return;
        }
        response.writeHead(200, head);
        const timer = setInterval(() => {
            if (performance.now() < endsAtMs) {
                response.write("piece ");
                return;
            }
            clearInterval(timer);
            response.end("end");
        }, pieceMs);
    }

    const server = createServer(answer);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const close = (): void => {
        server.close();
        server.closeAllConnections();
    };
    return {
        entry: encodeTestSampler({ service: "tiles", port, maxBatchSize: 512 }),
        runsOf: (id: string): number => runs.get(id) ?? 0,
        close,
    };
}

function send(port: number, agent: Agent, id: string, path: string): Promise<string> {
    return new Promise(resolve => {
        const headers = {
            host: "a.example",
            [wireHeaders.requestId]: id,
            [wireHeaders.deadlineMs]: String(timeoutMs),
        };
        const sent = request({ agent, host: "127.0.0.1", port, method: "POST", path, headers }, answer => {
            let text = "";
            answer.on("data", chunk => text += String(chunk));
            answer.once("end", () => {
                const isWhole = answer.statusCode !== 200 || text.endsWith("end");
                resolve(isWhole ? String(answer.statusCode) : "cut");
            });
            answer.once("error", () => resolve("cut"));
        });
        sent.once("error", () => resolve("closed"));
        sent.end("x");
    });
}

test("in a planned stop, a request that may not be repeated is answered whole or has not run", async () => {
    // Guards against requests that come late in the grace period, are passed on and cut off at its end.
    const testBed = await createPlatformTestBed();
    const sampler = await serveSampler();
    const kept = new Agent({ keepAlive: true });
    const outcomes: Promise<Outcome>[] = [];
    let isOver = false;
    try {
        testBed.store.put("config", "main", config);
        testBed.store.put("servers", "t-1", sampler.entry);
        const gateway = await testBed.startGatewayAt("front-1", { gracePeriodMs });
        await testBed.waitFor(async () =>
            (await testBed.call(gateway.readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
        );
        const sendAll = async (): Promise<void> => {
            for (let index = 0; !isOver; index++) {
                const id = `q-${index}`;
                const kind = index % 2 === 0 ? "plain" : "stream";
                const path = `/${kind}/${worksMs[Math.floor(index / 2) % worksMs.length]}`;
                const agent = Math.floor(index / 6) % 2 === 0 ? kept : new Agent();
                outcomes.push(
                    send(gateway.port, agent, id, path).then(got => ({ got, runs: sampler.runsOf(id) })),
                );
                await sleep(requestIntervalMs);
            }
        };
        const sending = sendAll();
        await sleep(warmUpMs);
        await gateway.role.shutdown();
        isOver = true;
        await sending;
        const ended = await Promise.all(outcomes);
        const isKept = ({ got, runs }: Outcome): boolean =>
            got === "200" ? runs === 1 : got !== "cut" && runs === 0;
        expect(ended.filter(outcome => !isKept(outcome))).toEqual([]);
        expect(ended.filter(({ got }) => got === "200").length).toBeGreaterThan(warmUpMs / requestIntervalMs);
    }
    finally {
        isOver = true;
        kept.destroy();
        sampler.close();
        testBed.close();
    }
}, 30_000);
