import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import type { CallerRequest } from "@auburnarch/entry/CallerRequest";
import { createForwardPlain } from "@auburnarch/entry/createForwardPlain";
import { codeOf } from "@auburnarch/errors/codeOf";
import { createEngineOrders } from "@auburnarch/platform/createEngineOrders";
import { createSendUsageReport } from "@auburnarch/platform/createSendUsageReport";
import { createStoreCalls } from "@auburnarch/platform/createStoreCalls";
import { brokenAnswers } from "@auburnarch/platform/testing/brokenAnswers";
import type { UsageReport } from "@auburnarch/runner/usage/UsageReport";
import { createHttpEngine } from "@auburnarch/store/createHttpEngine";
import { createHttpObjectStore } from "@auburnarch/store/createHttpObjectStore";
import { createHttpPlainBackend } from "@auburnarch/store/createHttpPlainBackend";
import { createHttpSidecar } from "@auburnarch/transport/createHttpSidecar";
import { createRpcClient } from "@auburnarch/transport/createRpcClient";
import { sidecarHeaders } from "@auburnarch/transport/sidecarHeaders";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { Agent, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { callEntry } from "./callEntry.js";

interface Reader {
    /** What a sound answer would contain. */
    body: string;
    /** Makes one call and describes its outcome. */
    read: (port: number) => Promise<string>;
}

const clock = createSystemClock(true);
const neverAborted = new AbortController().signal;
const agent = new Agent({ keepAlive: true });
const timeoutMs = 1_000;
const urlOf = (port: number): string => `http://127.0.0.1:${port}`;
const orders = createEngineOrders(clock, () => agent);
const samplerAt = (port: number) => createTestSampler("s", { host: "127.0.0.1", port });
const storeObject = JSON.stringify({ object: { key: "a", version: 3 } });
const report = JSON.stringify({ models: [], busy: false, sequence: 0 });

const codeName = (call: Promise<unknown>): Promise<string> =>
    call.then(value => `answered ${JSON.stringify(value)}`, error => codeOf(error).name);

const plainRequest = {
    attempt: "p1",
    service: "tiles",
    team: "lugo",
    method: "POST",
    path: "/",
    headers: {},
    body: Buffer.from("x"),
    idempotent: false,
    digest: "d",
    budgetMs: timeoutMs,
} as unknown as PlainRequest;

const callerRequest = {
    ...plainRequest,
    idempotencyKey: undefined,
    idempotent: undefined,
    forwarded: false,
} as unknown as CallerRequest;

const engineRequest = {
    policy: "plume",
    prompt: "p",
    maxTokens: 1,
    attempt: "a",
} as unknown as EngineRequest;

const readers: Record<string, Reader> = {
    "a store call": {
        body: "{}",
        read: async port => {
            const calls = createStoreCalls({ address: () => ({ host: "127.0.0.1", port }), clock });
            const outcome = await codeName(calls.call("GET", "/v1/objects/servers"));
            calls.close();
            return outcome;
        },
    },
    "a usage report": {
        body: "{}",
        read: port => {
            const send = createSendUsageReport({ address: () => ({ host: "127.0.0.1", port }), clock });
            const sender = { holder: "h", fencing: 1 as FencingNumber };
            return send({ window: 1, counts: [] } as unknown as UsageReport, sender);
        },
    },
    "an order": {
        body: "{}",
        read: port =>
            orders.load(samplerAt(port), {
                policy: "m0" as PolicyId,
                version: 2 as WeightVersion,
                runs: "preserved",
                holder: "h",
                fencing: 1 as FencingNumber,
                expectedOrders: 0,
            }),
    },
    "a sampler's report": {
        body: report,
        read: async port => String(await orders.readStatus(samplerAt(port))),
    },
    "a call to a peer": {
        body: JSON.stringify({ jsonrpc: "2.0", id: 1, result: {} }),
        read: port =>
            codeName(createRpcClient({ host: "127.0.0.1", port, agent, clock })("x", {}, timeoutMs)),
    },
    "a sidecar": {
        body: "ok",
        read: async port => {
            const sidecar = createHttpSidecar({ address: urlOf(port), clock });
            const outcome = await sidecar.callPlain(plainRequest, neverAborted);
            return outcome.kind;
        },
    },
    "an owner of a key": {
        body: "ok",
        read: async port => {
            const forward = createForwardPlain("token", clock);
            return (await forward(urlOf(port), callerRequest, neverAborted)).kind;
        },
    },
    "the object API": {
        body: storeObject,
        read: async port => {
            const store = createHttpObjectStore(urlOf(port), { timeoutMs });
            const outcome = await codeName(store.read("a"));
            store.close();
            return outcome;
        },
    },
    "a description of an engine": {
        body: JSON.stringify({
            bootId: "b",
            served: [],
            maxBatch: 1,
            tokensPerSecond: 1,
            honoursFencing: true,
        }),
        read: port => codeName(createHttpEngine(urlOf(port), { timeoutMs }).describe()),
    },
    "a completion of an engine": {
        body: `data: ${
            JSON.stringify({ choices: [{ text: "t", finish_reason: "stop" }] })
        }\n\ndata: [DONE]\n\n`,
        read: port => codeName(createHttpEngine(urlOf(port)).generate(engineRequest, () => {}, neverAborted)),
    },
    "a plain service": {
        body: "ok",
        read: async port => {
            const outcome = await createHttpPlainBackend(urlOf(port))(plainRequest, neverAborted);
            return outcome.kind === "ran" ? "ran" : `${outcome.kind} ${outcome.code.name}`;
        },
    },
    "an entry": {
        body: "{}",
        read: port =>
            codeName(
                callEntry({
                    agent,
                    address: urlOf(port),
                    method: "GET",
                    path: "/",
                    token: "t",
                    timeoutMs,
                }),
            ),
    },
};

// A signature is a matter of the platform's samplers; of the chunks, the head is sound.
const otherAnswers = [
    "an empty signature",
    "a blank signature",
    "two signatures",
    "a chunk whose size is no number",
];
const answers = Object.keys(brokenAnswers).filter(answer =>
    !otherAnswers.includes(answer)
) as (keyof typeof brokenAnswers)[];

/** Encodes the answer of every service to its next call. */
let encodeAnswer: (body: string) => string;
const ports = new Map<string, number>();
const servers = Object.entries(readers).map(([name, { body }]) => {
    const server = createServer(request => {
        request.resume();
        const answer = encodeAnswer(body);
        // Fields by which a process of this system says that it handled the request.
        const handled = `${sidecarHeaders.outcome}: ran\r\n${sidecarHeaders.incarnation}: i\r\n`;
        request.socket.end(answer.replace("\r\n", `\r\n${handled}`), "latin1");
    });
    return { name, server };
});

beforeAll(async () => {
    for (const { name, server } of servers) {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        ports.set(name, (server.address() as AddressInfo).port);
    }
});

afterAll(() => {
    agent.destroy();
    servers.forEach(({ server }) => {
        server.close();
        server.closeAllConnections();
    });
});

async function readAll(): Promise<Record<string, string>> {
    const outcomes = await Promise.all(
        Object.entries(readers).map(async ([name, { read }]) =>
            [name, await read(ports.get(name)!)] as const
        ),
    );
    return Object.fromEntries(outcomes);
}

test("a sound answer is one to each client of a service", async () => {
    // Guards against broken answers below that fail for another reason.
    encodeAnswer = body => `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    expect(await readAll()).toMatchInlineSnapshot(`
      {
        "a call to a peer": "answered {}",
        "a completion of an engine": "answered {"reason":"stop","engineMs":0,"cachedPromptTokens":0}",
        "a description of an engine": "answered {"bootId":"b","served":[],"maxBatch":1,"tokensPerSecond":1,"honoursFencing":true}",
        "a plain service": "ran",
        "a sampler's report": "[object Object]",
        "a sidecar": "unknown",
        "a store call": "answered {"status":200,"value":{}}",
        "a usage report": "accepted",
        "an entry": "answered {}",
        "an order": "alreadyHolds",
        "an owner of a key": "ran",
        "the object API": "answered {"key":"a","version":3}",
      }
    `);
});

test.each(answers)("an answer with %s is none to any client of a service", async answer => {
    // Guards against clients that take a broken answer for a sound one, or for a refusal.
    encodeAnswer = body => brokenAnswers[answer]({ requestId: "q", body }).join("");
    expect(await readAll()).toEqual({
        "a store call": "storeUnavailable",
        "a usage report": "unknown",
        "an order": "unknown",
        "a sampler's report": "undefined",
        "a call to a peer": "sidecarUnreachable",
        "a sidecar": "unknown",
        "an owner of a key": "unknown",
        "the object API": "storeUnavailable",
        "a description of an engine": "engineUnreachable",
        "a completion of an engine": "engineUnreachable",
        "a plain service": "unknown answerMalformed",
        "an entry": "connectionBroken",
    });
});
