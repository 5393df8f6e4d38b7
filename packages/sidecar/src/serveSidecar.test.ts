import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { createHttpSidecar } from "@auburnarch/transport/createHttpSidecar";
import type { HttpSidecar } from "@auburnarch/transport/HttpSidecar";
import { readFullBody } from "@auburnarch/transport/readFullBody";
import { toForwardedHeaders } from "@auburnarch/transport/toForwardedHeaders";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import fc from "fast-check";
import { createHash } from "node:crypto";
import { connect, createServer, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { createSidecar } from "./createSidecar.js";
import { serveSidecar } from "./serveSidecar.js";
import type { Sidecar } from "./Sidecar.js";
import { createSidecarFixture } from "./testing/createSidecarFixture.js";

const never = new AbortController().signal;
const clock = createSystemClock();
const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

interface Setup {
    sidecar: Sidecar;
    port: number;
    client: HttpSidecar;
    close: (graceful: boolean) => Promise<void>;
}

async function serve(engine: EnginePort | undefined, backend: PlainBackend | undefined): Promise<Setup> {
    const logger = createLogger(clock, () => {});
    const identity = createSidecarFixture().sidecar.report();
    const sidecar = createSidecar({
        identity,
        clock,
        random: createRandom(3),
        logger,
        metrics: createMetrics(),
        invariants: createInvariants(logger, () => {}),
        engine,
        backend,
        weightStore: async () => {},
        readFencing: async () => 5 as FencingNumber,
    });
    const served = await serveSidecar(sidecar, {
        port: 0,
        host: "127.0.0.1",
        clock,
        logger,
        maxBodyBytes: 65_536,
    });
    const client = createHttpSidecar({ address: `http://127.0.0.1:${served.port}`, clock });
    cleanups.push(() => sidecar.kill(), () => served.close(false), () => client.close());
    return { sidecar, port: served.port, client, close: served.close };
}

function fastEngine(tokens = 64): ReturnType<typeof createFakeEngine> {
    return createFakeEngine({
        clock,
        random: createRandom(4),
        served: [{ policy: "plume" as never, version: 1 as never }],
        tokensPerSecond: 2_000,
        chunkMs: 5,
        swapMs: 5,
        lengthOf: () => tokens,
    });
}

let requests = 0;
const plainRequest = (overrides: Partial<PlainRequest> = {}): PlainRequest => ({
    attempt: `request-${requests++}` as AttemptId,
    service: "tiles" as PlainRequest["service"],
    team: "team" as PlainRequest["team"],
    method: "POST",
    path: "/tile?x=1",
    headers: { "content-type": "text/plain" },
    body: Buffer.from("body"),
    idempotent: true,
    digest: "d" as PlainRequest["digest"],
    budgetMs: 10_000,
    ...overrides,
});

test("a trial is marked as one over HTTP, and a caller's headers cannot claim one", async () => {
    // Guards against a quarantined content that its caller can send to samplers at will.
    const { backend } = createFakePlainService({ clock, latencyMs: 1 });
    const { sidecar, client } = await serve(undefined, backend);
    const vms = ["vm-1", "vm-2"];
    const deaths = vms.map(vm => ({ vm, bootId: "b", atMs: clock.wallMs() }));
    const record = { digest: "d", deaths, expiresAtMs: clock.wallMs() + 60_000 };
    sidecar.offerQuarantine(1, [record] as unknown as Parameters<Sidecar["offerQuarantine"]>[1]);
    const claimed = toForwardedHeaders({ "x-auburnarch-trial": "1" });
    const refused = await client.callPlain(plainRequest({ headers: claimed }), never);
    expect(refused).toMatchObject({ kind: "notRun", code: { name: "quarantined" } });
    expect(await client.callPlain(plainRequest({ isTrial: true }), never)).toMatchObject({ kind: "ran" });
});

test("a sample over HTTP is the same as in process: streamed spans, outcome, usage and report", async () => {
    const { sidecar, client } = await serve(fastEngine().engine, undefined);
    const { attempt, load } = createSidecarFixture();
    const streamed: TokenSpan[] = [];
    const outcome = await client.runSample(attempt("a"), span => streamed.push(span), never);
    expect(outcome).toMatchObject({
        kind: "ran",
        answer: { complete: true, spans: [{ version: 1, tokens: 64 }] },
    });
    const text = streamed.map(span => span.text).join("");
    expect(outcome).toMatchObject({ answer: { spans: [{ text }] } });
    expect(await client.order(load(2, 5))).toMatchObject({ kind: "done" });
    expect(await client.order(load(3, 4))).toMatchObject({ kind: "refused", code: { name: "fenced" } });
    expect(await client.runSample(attempt("b", { minVersion: 9 }), () => {}, never))
        .toMatchObject({ kind: "notRun", code: { name: "staleWeights" } });
    expect(await client.readUsage()).toEqual(await sidecar.readUsage());
    expect(await client.readReport()).toMatchObject({ state: "ready", served: [{ version: 2 }] });
    expect(await client.queryAttempt("a" as AttemptId)).toMatchObject({ state: "finished" });
});

test("a cancelled sample over HTTP returns the tokens generated so far", async () => {
    // Longer than any test may take: a sample that can end by itself on a busy machine would race its cancel.
    const tokens = 1_000_000;
    const { client } = await serve(fastEngine(tokens).engine, undefined);
    const abort = new AbortController();
    const attempt = createSidecarFixture().attempt("a", { maxTokens: tokens });
    const outcome = await client.runSample(attempt, () => abort.abort(), abort.signal);
    expect(outcome).toMatchObject({ kind: "ran", answer: { complete: false } });
});

test("plain bodies pass both ways, and completions state the versions that produced them", async () => {
    const plain = await serve(undefined, createFakePlainService({ clock }).backend);
    const outcome = await plain.client.callPlain(plainRequest(), never);
    const body = outcome.kind === "ran" ? (await readFullBody(outcome.answer.body, 1_000)).toString() : "";
    expect(JSON.parse(body)).toMatchObject({ method: "POST", path: "/tile?x=1" });

    const model = await serve(fastEngine().engine, undefined);
    const ask = async (json: unknown): Promise<string> => {
        const request = plainRequest({ path: "/v1/completions", body: Buffer.from(JSON.stringify(json)) });
        const answered = await model.client.callPlain(request, never);
        return answered.kind === "ran"
            ? (await readFullBody(answered.answer.body, 100_000)).toString()
            : answered.kind;
    };
    expect(JSON.parse(await ask({ model: "plume", prompt: "p" }))).toMatchObject({
        system_fingerprint: "plume@1",
        choices: [{ finish_reason: "stop" }],
        usage: { completion_tokens: 64 },
    });
    const events = (await ask({ model: "plume", prompt: "p", stream: true })).trim().split("\n\n");
    expect(events.at(-1)).toBe("data: [DONE]");
    expect(JSON.parse(events[0]!.slice("data: ".length))).toMatchObject({ system_fingerprint: "plume@1" });
    expect(JSON.parse(await ask({ model: "plume" }))).toMatchObject({ code: 1000, name: "badRequest" });
});

test.each([10, 600_000])(
    "a response of %i bytes cut off half way is broken for the caller, never complete",
    async bytes => {
        const { backend, control } = createFakePlainService({ clock, answer: () => new Uint8Array(bytes) });
        const { client } = await serve(undefined, backend);
        const read = async (): Promise<string> => {
            const outcome = await client.callPlain(plainRequest(), never);
            if (outcome.kind !== "ran") {
                return outcome.kind;
            }
            return readFullBody(outcome.answer.body, 1_000_000).then(
                body => `${body.length} bytes`,
                error => error.name,
            );
        };
        control.cutBody(1);
        // A short part may not have left the sidecar; then the outcome itself is unknown.
        expect(["unknown", "ResultError"]).toContain(await read());
        expect(await read()).toBe(`${bytes} bytes`);
    },
);

/**
 * Starts a TCP proxy for a sidecar that can break connections instead of passing on what clients send, or once it has
 * arrived.
 */
async function relay(
    port: number,
): Promise<{ port: number; setMode: (mode: "pass" | "breakBefore" | "breakAfter") => void; }> {
    let mode: "pass" | "breakBefore" | "breakAfter" = "pass";
    const sockets = new Set<Socket>();
    const server = createServer(client => {
        const upstream = connect(port, "127.0.0.1");
        sockets.add(client).add(upstream);
        client.on("error", () => {});
        upstream.on("error", () => {});
        client.on("data", data => {
            // Only work requests are affected; queries about them pass.
            const isWork = !data.subarray(0, 200).includes("POST /rpc");
            if (mode === "pass" || !isWork) {
                upstream.write(data);
                return;
            }
            if (mode === "breakAfter") {
                upstream.write(data, () => client.destroy());
                return;
            }
            client.destroy();
        });
        upstream.on("data", data => client.write(data));
        client.on("close", () => setImmediate(() => upstream.end()));
        upstream.on("close", () => client.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    cleanups.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return {
        port: (server.address() as { port: number; }).port,
        setMode: next => {
            mode = next;
        },
    };
}

test("a request lost on the way is not run, also if it arrives late; one that arrived is unknown", async () => {
    // Guards against a request that is not idempotent and runs twice.
    const { backend, control } = createFakePlainService({ clock });
    const { port, client: direct } = await serve(undefined, backend);
    const middle = await relay(port);
    const client = createHttpSidecar({ address: `http://127.0.0.1:${middle.port}`, clock });
    cleanups.push(() => client.close());
    await client.readReport();
    middle.setMode("breakBefore");
    const lost = plainRequest({ idempotent: false });
    expect(await client.callPlain(lost, never)).toMatchObject({ kind: "notRun" });
    middle.setMode("breakAfter");
    control.setLatency(5);
    const arrived = plainRequest({ idempotent: false });
    expect(await client.callPlain(arrived, never)).toMatchObject({ kind: "unknown" });
    // The lost message arrives late.
    expect(await direct.callPlain(lost, never)).toMatchObject({
        kind: "notRun",
        code: { name: "tombstoned" },
    });
    expect([...control.runsByAttempt()]).toEqual([[arrived.attempt, 1]]);
});

test("a request to a closed port is not run; one whose sidecar was killed while it ran is unknown", async () => {
    const unreachable = createHttpSidecar({ address: "http://127.0.0.1:1", clock });
    expect(await unreachable.callPlain(plainRequest(), never)).toMatchObject({
        kind: "notRun",
        code: { name: "connectFailed" },
    });
    await expect(unreachable.readReport()).rejects.toThrow("sidecarUnreachable");
    unreachable.close();

    const { backend, control } = createFakePlainService({ clock, latencyMs: 60_000 });
    const { client, sidecar, close } = await serve(undefined, backend);
    const calling = client.callPlain(plainRequest(), never);
    while (control.runsByAttempt().size === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    sidecar.kill();
    await close(false);
    expect(await calling).toMatchObject({ kind: "unknown" });
});

test("a graceful close waits until the response in progress is written", async () => {
    const { backend, control } = createFakePlainService({ clock, latencyMs: 30 });
    const { client, close } = await serve(undefined, backend);
    const calling = client.callPlain(plainRequest(), never);
    while (control.runsByAttempt().size === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    const closing = close(true);
    expect(await calling).toMatchObject({ kind: "ran", answer: { status: 200 } });
    await closing;
});

const post = async (
    port: number,
    path: string,
    body: string | Uint8Array,
): Promise<{ status: number; text: string; }> => {
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, {
        method: "POST",
        body: Buffer.from(body),
    });
    return { status: answer.status, text: await answer.text() };
};

test("a process without the cluster token reaches nothing behind the sidecar", async () => {
    const { backend, control } = createFakePlainService({ clock });
    const { sidecar } = await serve(undefined, backend);
    const clusterTokenDigest = createHash("sha256").update("secret").digest("hex");
    const logger = createLogger(clock, () => {});
    const served = await serveSidecar(sidecar, {
        port: 0,
        host: "127.0.0.1",
        clock,
        logger,
        clusterTokenDigest,
    });
    const address = `http://127.0.0.1:${served.port}`;
    const clients = [undefined, "wrong", "secret"].map(clusterToken =>
        createHttpSidecar({ address, clock, clusterToken })
    );
    cleanups.push(() => served.close(false), ...clients.map(client => () => client.close()));
    const outcomes: string[] = [];
    for (const client of clients) {
        const outcome = await client.callPlain(plainRequest(), never);
        outcomes.push(outcome.kind === "ran" ? "ran" : `${outcome.kind} ${outcome.code.name}`);
    }
    expect(outcomes).toEqual(["notRun unauthenticated", "notRun unauthenticated", "ran"]);
    expect(control.runsByAttempt().size).toBe(1);
});

test("malformed messages get numbered codes, run nothing and do not stop the sidecar", async () => {
    const { engine, control } = fastEngine();
    const { port, client } = await serve(engine, undefined);
    const rpc = fc.oneof(
        fc.json(),
        fc.string(),
        fc.record({
            jsonrpc: fc.constantFrom("2.0", "1.0"),
            id: fc.oneof(fc.nat(), fc.string()),
            method: fc.constantFrom("order", "queryAttempt", "cancelSample", "toString", "__proto__"),
            params: fc.jsonValue(),
        }).map(message => JSON.stringify(message)),
    );
    await fc.assert(
        fc.asyncProperty(
            fc.constantFrom("/rpc", "/samples", "/plain/v1/completions", "/other"),
            rpc,
            async (path, body) => {
                const { status, text } = await post(port, path, body);
                expect([200, 400, 404]).toContain(status);
                expect(text.length).toBeLessThan(2_000);
            },
        ),
        { seed: 5, numRuns: 200 },
    );
    expect(JSON.parse((await post(port, "/samples", "x".repeat(70_000))).text)).toMatchObject({ code: 1006 });
    expect(JSON.parse((await post(port, "/rpc", "[".repeat(1_000))).text)).toMatchObject({ code: 1000 });
    expect(control.startsByAttempt().size).toBe(0);
    expect(await client.readReport()).toMatchObject({ state: "ready" });
});
