import { rangeCount } from "@auburnarch/admission/rangeCount";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import fc from "fast-check";
import { once } from "node:events";
import { Agent, request } from "node:http";
import { connect } from "node:net";
import { v7 as newKey } from "uuid";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createPeerCall } from "./createPeerCall.js";
import { createServedEntry } from "./testing/createServedEntry.js";
import { exchangeRaw } from "./testing/exchangeRaw.js";

let entry: Awaited<ReturnType<typeof createServedEntry>>;
const savedGroups: unknown[] = [];
const groupStore: GroupStore = {
    save: async record => void savedGroups.push(record),
    load: async () => [],
    drop: async () => undefined,
};

beforeEach(async () => {
    savedGroups.length = 0;
    entry = await createServedEntry({ requestTimeoutMs: 1_000, maxBodyPoolBytes: 3_000_000 }, groupStore);
});

afterEach(async () => {
    const faults = entry.lines.filter(line =>
        line.includes("requestFault") || line.includes("promiseBroken")
    );
    await entry.close();
    expect(faults).toEqual([]);
});

interface SendOptions {
    token?: string;
    headers?: Record<string, string>;
    body?: string | Uint8Array;
}

async function send(line: string, { token, headers, body }: SendOptions = {}) {
    const [method, path] = line.split(" ");
    const authorization: Record<string, string> = token === undefined
        ? {}
        : { authorization: `Bearer ${token}` };
    const answer = await fetch(`http://127.0.0.1:${entry.port}${path}`, {
        method: method!,
        headers: { ...authorization, ...headers },
        body: body as string,
    });
    const text = await answer.text();
    const json = (text.startsWith("{") ? JSON.parse(text) : {}) as {
        code?: number;
        name?: string;
        action?: string;
        outcome?: string;
        result?: unknown;
        error?: { code: number; };
    };
    return { status: answer.status, text, json };
}

const storeState = (): string =>
    JSON.stringify([entry.control.keys(), entry.control.peek("config/manifest")]);
const step = JSON.stringify({
    step: 1,
    prompts: [{ prompt: "ridge", maxTokens: 5 }, { prompt: "x", maxTokens: 5 }],
});

function isRefused(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => resolve(false));
        socket.on("error", () => resolve(true)).end();
    });
}

/** Waits until the entry has acquired its jobs and key ranges, so that its own writes do not count as a caller's. */
async function waitForOwnWrites(): Promise<void> {
    const jobs = ["forecast", "estimates"];
    const ofJobs = jobs.flatMap(
        job => [`jobs/${job}/checkpoint`, `jobs/${job}/weights`, `leases/job/${job}`],
    );
    const ofRanges = Array.from({ length: rangeCount }, (_, range) => `leases/range/${range}`);
    const areWritten = (): boolean => {
        const keys = new Set(entry.control.keys());
        return [...ofJobs, ...ofRanges].every(key => keys.has(key));
    };
    await vi.waitUntil(areWritten, { timeout: 120_000 });
}

test("every route refuses a missing or wrong token, and nothing changes", async () => {
    await waitForOwnWrites();
    const before = storeState();
    const { tokens } = entry;
    const team = [undefined, "", "wrong", tokens.operator, tokens.cluster];
    const operator = [undefined, "", "wrong", tokens.plume, tokens.cluster];
    const cluster = [undefined, "", "wrong", tokens.plume, tokens.operator];
    const routes: [string, (string | undefined)[], string?][] = [
        ["POST /v1/services/tiles/alerts", team, "{}"],
        ["POST /v1/jobs/forecast/steps", team, step],
        ["POST /v1/jobs/forecast/weights", team, "{}"],
        ["GET /v1/jobs/forecast/steps/1/groups", team],
        ["GET /v1/jobs/forecast", team],
        ["GET /v1/usage", team],
        ["GET /operator/status", operator],
        ["GET /operator/constructor", operator],
        ["POST /operator/manifest", operator, "{}"],
        ["POST /operator/drain", operator, '{"sampler":"tile-1"}'],
        ["POST /rpc", cluster, '{"jsonrpc":"2.0","id":1,"method":"describe"}'],
    ];
    for (const [route, wrong, body] of routes) {
        for (const token of wrong) {
            const { status, json } = await send(route, { token, body });
            expect([route, status, json.code]).toEqual([route, 401, resultCodes.unauthenticated.number]);
        }
    }
    expect(entry.sent).toEqual([]);
    expect(storeState()).toBe(before);
});

test("a team cannot access another team's job, step or page", async () => {
    const { plume, ridge } = entry.tokens;
    const routes: [string, string?][] = [
        ["POST /v1/jobs/forecast/steps", step],
        ["POST /v1/jobs/forecast/weights", '{"policy":"plume","version":9,"location":"x"}'],
        ["GET /v1/jobs/forecast/steps/1/groups"],
        ["GET /v1/jobs/forecast"],
    ];
    for (const [route, body] of routes) {
        expect((await send(route, { token: ridge, body })).json.code).toBe(resultCodes.forbidden.number);
    }
    const open = async (job: string, token: string) => {
        for (;;) {
            // Retries because the job's owner may still be starting.
            const { status } = await send(`POST /v1/jobs/${job}/steps`, { token, body: step });
            if (status === 200) {
                return;
            }
        }
    };
    await Promise.all([open("forecast", plume), open("estimates", ridge)]);
    const page = JSON.parse((await send("GET /v1/jobs/forecast/steps/1/groups", { token: plume })).text);
    expect(page).toMatchObject({ job: "forecast", groups: [] });
    const foreignCursor = await send(`GET /v1/jobs/estimates/steps/1/groups?cursor=${page.cursor}`, {
        token: ridge,
    });
    expect(foreignCursor.json.code).toBe(resultCodes.cursorInvalid.number);
    expect(JSON.parse((await send("GET /v1/usage", { token: ridge })).text)).toMatchObject({ team: "ridge" });
});

test("a caller without the cluster token cannot send a forwarded request", async () => {
    // Guards against requests of one team that run and are charged as another's.
    const headers = { "x-auburnarch-forwarded": "1", "x-auburnarch-team": "plume" };
    const claim = await send("POST /v1/services/tiles/alerts", { token: entry.tokens.ridge, headers });
    expect(claim.json.code).toBe(resultCodes.unauthenticated.number);
    const { cluster } = entry.tokens;
    const nameless = await send("GET /v1/services/tiles/tiles/1", {
        token: cluster,
        headers: { "x-auburnarch-forwarded": "1" },
    });
    expect(nameless.json.code).toBe(resultCodes.badRequest.number);
    expect(entry.sent).toEqual([]);
});

test("a sampler receives neither the caller's token nor headers that only the system may set", async () => {
    const key = newKey();
    const answer = await send("GET /v1/services/tiles/tiles/1?layer=smoke", {
        token: entry.tokens.plume,
        headers: {
            "x-auburnarch-team": "ridge",
            "x-auburnarch-cluster-token": "guess",
            "x-auburnarch-attempt": "a",
            "idempotency-key": key,
            "x-request": "kept",
        },
    });
    expect(answer.text).toBe("whole");
    const [{ team, path, headers }] = entry.sent as [typeof entry.sent[number]];
    expect([team, path, headers["x-request"], headers["idempotency-key"]]).toEqual(
        ["plume", "/tiles/1?layer=smoke", "kept", key],
    );
    expect(Object.keys(headers).filter(name => name.startsWith("x-auburnarch") || name === "authorization"))
        .toEqual(
            [],
        );
});

test("a request whose key is older than the answer window is answered as unknown, not as not run", async () => {
    // Guards against a caller that mints a new key for a request which ran before its key was forgotten.
    await waitForOwnWrites();
    const forgotten = newKey({ msecs: Date.now() - 3_600_000 });
    const { status, json } = await send("POST /v1/services/tiles/alerts", {
        token: entry.tokens.plume,
        headers: { "idempotency-key": forgotten },
        body: "{}",
    });
    expect([status, json.name, json.outcome]).toEqual([409, "keyTooOld", "unknown"]);
});

test("malformed or hostile JSON-RPC is answered with a numbered code", async () => {
    const call = (method: unknown, params?: unknown, id: unknown = 1) => ({
        jsonrpc: "2.0",
        id,
        method,
        params,
    });
    const bodies: unknown[] = [
        [],
        [call("describe"), call("describe")],
        "describe",
        7,
        false,
        {},
        { ...call("describe"), id: undefined },
        call("describe", {}, { nested: 1 }),
        call(["describe"]),
        ...["constructor", "__proto__", "toString", "hasOwnProperty", "", "rpc.on"].map(method =>
            call(method)
        ),
        call("train", { team: "plume", call: { kind: "drop", job: "forecast" } }),
        call("train", { team: "plume", call: { kind: "openStep", job: "forecast", spec: { step: "1" } } }),
        call("train", { team: "ridge", call: { kind: "status", job: "forecast" } }),
        call("jobStatus", { job: ["forecast"] }),
        ...["gossip", "spread", "report", "train", "jobStatus", "keepSave", "keepLoad", "keepDrop"].flatMap(
            method =>
                [undefined, [], "x", { __proto__: 1 }, { job: {}, documents: {} }].map(params =>
                    call(method, params)
                ),
        ),
    ];
    const known = new Set(Object.values(resultCodes).map(code => code.number));
    known.delete(resultCodes.internal.number);
    for (const text of ["", "null", "{", "\u0000", ...bodies.map(body => JSON.stringify(body))]) {
        const { json } = await send("POST /rpc", { token: entry.tokens.cluster, body: text });
        expect([text, known.has(json.code ?? json.error!.code)]).toEqual([text, true]);
    }
    await fc.assert(
        fc.asyncProperty(
            fc.constantFrom("gossip", "spread", "report", "train"),
            fc.json(),
            async (method, params) => {
                const body = `{"jsonrpc":"2.0","id":1,"method":"${method}","params":${params}}`;
                const { json } = await send("POST /rpc", { token: entry.tokens.cluster, body });
                expect(known.has(json.code ?? json.error!.code)).toBe(true);
            },
        ),
        { numRuns: 60, seed: 4 },
    );
});

test("hostile bodies of teams and operators are refused with an action, and nothing changes", async () => {
    // Waits first, because on a busy machine the entry's own writes come late and would look like changes.
    await waitForOwnWrites();
    const before = storeState();
    const { plume, operator } = entry.tokens;
    const routes: [string, string][] = [
        ["POST /v1/jobs/forecast/steps", plume],
        ["POST /v1/jobs/forecast/weights", plume],
        ["POST /operator/manifest", operator],
        ["POST /operator/drain", operator],
        ["POST /operator/quarantine/lift", operator],
    ];
    await fc.assert(
        fc.asyncProperty(
            fc.constantFrom(...routes),
            fc.oneof(
                fc.json(),
                fc.uint8Array().map(bytes => Buffer.from(bytes)),
                fc.constant('{"__proto__":1}'),
            ),
            async ([route, token], body) => {
                const { status, json } = await send(route, { token, body });
                expect([400, 422]).toContain(status);
                expect(json.code).toBeGreaterThan(0);
                expect(json.action).not.toBe("");
            },
        ),
        { numRuns: 100, seed: 9 },
    );
    expect(storeState()).toBe(before);
});

const headOf = (line: string, token: string, ...headers: string[]): string =>
    [`${line} HTTP/1.1`, "Host: entry", `Authorization: Bearer ${token}`, ...headers, "", ""].join("\r\n");

test("oversized and endless bodies are refused at the limit with a code", async () => {
    // Guards against a process that runs out of memory.
    const { plume } = entry.tokens;
    const declared = headOf("POST /v1/services/tiles/alerts", plume, "Content-Length: 99999999999");
    expect((await exchangeRaw(entry.port, declared)).body?.code).toBe(resultCodes.bodyTooLarge.number);
    const chunk = Buffer.concat([Buffer.from("10000\r\n"), Buffer.alloc(65_536, 97), Buffer.from("\r\n")]);
    const endless = headOf("POST /v1/services/tiles/alerts", plume, "Transfer-Encoding: chunked");
    expect((await exchangeRaw(entry.port, endless, chunk)).body?.code).toBe(resultCodes.bodyTooLarge.number);
    expect(entry.sent).toEqual([]);
});

test("concurrent bodies together use no more memory than the pool", async () => {
    // Guards against a process that runs out of memory.
    await entry.close();
    entry = await createServedEntry({ requestTimeoutMs: 5_000, maxBodyPoolBytes: 3_000_000 }, groupStore);
    const { plume, ridge } = entry.tokens;
    const part = Buffer.alloc(1_000_000, 97);
    const head = headOf("POST /v1/jobs/forecast/steps", plume, "Content-Length: 1000001");
    const held = Array.from(
        { length: 6 },
        () => exchangeRaw(entry.port, Buffer.concat([Buffer.from(head), part])),
    );
    const refused = await Promise.any(
        held.map(async each => {
            expect((await each).body?.code).toBe(resultCodes.overloaded.number);
        }),
    );
    expect(refused).toBeUndefined();
    // The other team still has room in the pool.
    const body = part.subarray(0, 500_000);
    expect((await send("POST /v1/services/tiles/alerts", { token: ridge, body })).text).toBe("whole");
    const codes = (await Promise.all(held)).map(answer => answer.body?.name);
    expect(codes.filter(name => name === "overloaded")).toHaveLength(5);
    expect(codes.filter(name => name === "requestTimeout")).toHaveLength(1);
});

test("a connection that sends invalid data while its request runs is closed without an answer", async () => {
    // Guards against reporting "not run" for a request that ran.
    const request = headOf("POST /v1/services/tiles/held", entry.tokens.plume, "Content-Length: 2") + "{}";
    const answered = exchangeRaw(entry.port, `${request}nonsense\r\n\r\n`);
    while (entry.sent.length === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    entry.release();
    expect(await answered).toEqual({ status: undefined, body: undefined });
    expect(entry.sent).toHaveLength(1);
});

test("a slow sender is answered with a code and disconnected", async () => {
    const { plume } = entry.tokens;
    const incompleteRequests = [
        "GET /healthz HTTP/1.1\r\nHost: e",
        headOf("POST /v1/services/tiles/alerts", plume, "Content-Length: 10") + "abc",
        headOf("POST /v1/jobs/forecast/steps", plume, "Transfer-Encoding: chunked") + "5\r\nab",
    ];
    const answers = await Promise.all(incompleteRequests.map(bytes => exchangeRaw(entry.port, bytes)));
    expect(answers.map(answer => answer.body?.name)).toEqual(incompleteRequests.map(() => "requestTimeout"));
    expect(entry.sent).toEqual([]);
});

test("invalid HTTP is answered with a code, and the entry continues to serve", async () => {
    const { plume } = entry.tokens;
    const malformed = [
        "\u0016\u0003\u0001\u0002\r\n\r\n",
        "GET /healthz HTTP/9.9\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nbad header\r\n\r\n",
        `GET /healthz HTTP/1.1\r\nHost: e\r\nX: ${"a".repeat(70_000)}\r\n\r\n`,
        headOf("POST /v1/services/tiles/alerts", plume, "Content-Length: 1", "Transfer-Encoding: chunked"),
        headOf("POST /v1/services/tiles/alerts", plume, "Transfer-Encoding: chunked") + "zz\r\n",
        headOf("POST /v1/services/tiles/alerts", plume, "Content-Length: 2", "Expect: miracles") + "{}",
    ];
    for (const bytes of malformed) {
        const { body } = await exchangeRaw(entry.port, bytes);
        expect([bytes.slice(0, 60), body?.code]).toEqual([bytes.slice(0, 60), resultCodes.badRequest.number]);
    }
    await fc.assert(
        fc.asyncProperty(fc.uint8Array({ minLength: 1 }), async bytes => {
            const { status, body } = await exchangeRaw(
                entry.port,
                Buffer.concat([bytes, Buffer.from("\r\n\r\n")]),
            );
            expect(status === undefined || body?.code !== undefined).toBe(true);
        }),
        { numRuns: 30, seed: 2 },
    );
    expect((await send("GET /healthz")).status).toBe(200);
});

test("closes connections beyond the limit and serves the others", async () => {
    const small = await createServedEntry({ maxConnections: 3 });
    const idle = Array.from({ length: 12 }, () => connect(small.port, "127.0.0.1"));
    const closed = idle.map(socket => new Promise<void>(resolve => socket.once("close", () => resolve())));
    idle.forEach(socket => socket.on("error", () => undefined).resume());
    let count = 0;
    await new Promise<void>(resolve =>
        closed.forEach(each =>
            void each.then(() => {
                count++;
                if (count === 9) {
                    resolve();
                }
            })
        )
    );
    const open = idle.find(socket => !socket.destroyed)!;
    const answered = new Promise<string>(resolve => open.once("data", chunk => resolve(chunk.toString())));
    open.write("GET /healthz HTTP/1.1\r\n\r\n");
    expect(await answered).toContain("200 OK");
    idle.forEach(socket => socket.destroy());
    await small.close();
});

test("a peer call ends regardless of the answer it receives", async () => {
    // Guards against gossip or an operator's status request that waits forever.
    const address = `http://127.0.0.1:${entry.port}`;
    expect(await entry.callPeer(address, "describe", {}, 5_000)).toMatchObject([{ name: "entry-1" }, {
        name: "tile-1",
    }]);
    const record = { job: "forecast", step: 1, group: 0, fencing: 1, body: "x" };
    await entry.callPeer(address, "keepSave", record, 5_000);
    expect(savedGroups).toEqual([record]);
    const unknownMethod = entry.callPeer(address, "none", {}, 5_000);
    await expect(unknownMethod).rejects.toMatchObject({ code: resultCodes.notFound });
    const stranger = createPeerCall("token of another cluster")(address, "describe", {}, 5_000);
    await expect(stranger).rejects.toMatchObject({ code: resultCodes.peerUnreachable });
});

test("an entry that leaves does not wait for peers that keep using their connections", async () => {
    // Guards against an entry that never ends after SIGTERM because sidecars go on reporting to it.
    const leaving = await createServedEntry();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const target = { agent, port: leaving.port, host: "127.0.0.1" };
    const first = request({
        ...target,
        method: "POST",
        path: "/v1/services/tiles/alerts",
        headers: { "authorization": `Bearer ${leaving.tokens.plume}`, "expect": "100-continue" },
    });
    first.flushHeaders();
    await once(first, "continue");
    const closing = leaving.close();
    await vi.waitUntil(() => isRefused(leaving.port));
    const answered = once(first, "response");
    first.end();
    (await answered)[0].resume();
    const peer = setInterval(() => {
        request({ ...target, path: "/healthz" }, answer => answer.resume()).on("error", () => undefined)
            .end();
    }, 100);
    try {
        await closing;
    }
    finally {
        clearInterval(peer);
        agent.destroy();
    }
}, 10_000);
