import { encodeTestSampler } from "@auburnarch/platform/testing/encodeTestSampler";
import { testClientLimits } from "@auburnarch/platform/testing/testClientLimits";
import { wireHeaders } from "@auburnarch/platform/wireHeaders";
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

const gracePeriodMs = 4_000;
const clients = 16;
/** The requests on kept connections are spread over the time from here to the end of the process. */
const firstRequestMs = 2_300;
const requestIntervalMs = 70;
const workMs = 150;
const longWorkMs = 10_000;

const config = {
    version: 1,
    routes: [{
        "name": "tiles",
        "host": "a.example",
        "path-prefix": "/tiles/",
        "kind": "idempotent",
        "service": "tiles",
        "timeout-ms": longWorkMs,
    }],
    services: [{ name: "tiles" }],
    limits: testClientLimits,
};

/** Serves a sampler that works long on requests to paths that end with `long`. */
async function serveSampler() {
    const runs = new Set<string>();
    const server = createServer((incoming, response) => {
        const id = String(incoming.headers[wireHeaders.requestId]);
        runs.add(id);
        incoming.resume();
        const isLong = incoming.url?.endsWith("long") === true;
        setTimeout(() => {
            response.writeHead(200, { [wireHeaders.requestId]: id, [wireHeaders.signature]: "proof" });
            response.end("ok");
        }, isLong ? longWorkMs : workMs);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const entry = encodeTestSampler({ service: "tiles", port, maxBatchSize: 64 });
    const close = (): void => {
        server.close();
        server.closeAllConnections();
    };
    return { entry, runs, close };
}

function send(port: number, agent: Agent, id: string, path: string): Promise<string> {
    return new Promise(resolve => {
        const headers = {
            host: "a.example",
            [wireHeaders.requestId]: id,
            [wireHeaders.deadlineMs]: String(longWorkMs),
        };
        const sent = request({ agent, host: "127.0.0.1", port, method: "POST", path, headers }, answer => {
            answer.resume();
            answer.once("end", () => resolve(String(answer.statusCode)));
            answer.once("error", () => resolve("cut"));
        });
        sent.once("error", () => resolve("closed"));
        sent.end("x");
    });
}

test(
    "a gateway that leaves beside a long request cuts none of the requests on kept connections",
    async () => {
        // Guards against requests that a leaving gateway still reads from idle connections and cuts off at their samplers.
        const testBed = await createPlatformTestBed();
        const sampler = await serveSampler();
        try {
            testBed.store.put("config", "main", config);
            testBed.store.put("servers", "t-1", sampler.entry);
            const gateway = await testBed.startGatewayAt("front-1", { gracePeriodMs });
            await testBed.waitFor(async () =>
                (await testBed.call(gateway.readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
            );
            const agents = Array.from(
                { length: clients },
                () => new Agent({ keepAlive: true, maxSockets: 1 }),
            );
            const before = await Promise.all(
                agents.map((agent, index) => send(gateway.port, agent, `before-${index}`, "/tiles/1")),
            );
            void send(gateway.port, new Agent(), "long", "/tiles/long");
            const left = gateway.role.shutdown();
            await sleep(firstRequestMs);
            const ended = await Promise.all(agents.map(async (agent, index) => {
                await sleep(index * requestIntervalMs);
                const id = `after-${index}`;
                const outcome = await send(gateway.port, agent, id, "/tiles/1");
                return { outcome, hasRun: sampler.runs.has(id) };
            }));
            await left;
            agents.forEach(agent => agent.destroy());
            expect(before.filter(outcome => outcome !== "200")).toEqual([]);
            expect(ended.filter(({ outcome, hasRun }) => hasRun !== (outcome === "200"))).toEqual([]);
            expect(ended.some(({ outcome }) => outcome === "200")).toBe(true);
        }
        finally {
            sampler.close();
            testBed.close();
        }
    },
    20_000,
);
