import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { codeOf } from "@auburnarch/errors/codeOf";
import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import { createFakeScoring } from "@auburnarch/fakes/createFakeScoring";
import { createFakeVmList } from "@auburnarch/fakes/createFakeVmList";
import { createFakeWeightStore } from "@auburnarch/fakes/createFakeWeightStore";
import { fakeText } from "@auburnarch/fakes/fakeText";
import type { HttpServerHandle } from "@auburnarch/fakes/HttpServerHandle";
import { serveEngine } from "@auburnarch/fakes/serveEngine";
import { serveObjectStore } from "@auburnarch/fakes/serveObjectStore";
import { servePlainService } from "@auburnarch/fakes/servePlainService";
import { serveScoring } from "@auburnarch/fakes/serveScoring";
import { serveVmList } from "@auburnarch/fakes/serveVmList";
import { serveWeightStore } from "@auburnarch/fakes/serveWeightStore";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Region } from "@auburnarch/types/Region";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { createHttpEngine } from "./createHttpEngine.js";
import { createHttpObjectStore } from "./createHttpObjectStore.js";
import { createHttpPlainBackend } from "./createHttpPlainBackend.js";
import { createHttpScoring } from "./createHttpScoring.js";
import { createHttpVmList } from "./createHttpVmList.js";
import { createHttpWeightStore } from "./createHttpWeightStore.js";

const absentVersion = 0 as ObjectVersion;
const policy = "plume" as PolicyId;
const neverAborted = new AbortController().signal;
const servers: HttpServerHandle[] = [];

async function listen(started: Promise<HttpServerHandle>): Promise<string> {
    const server = await started;
    servers.push(server);
    return `http://127.0.0.1:${server.port}`;
}

/** Serves a connection by what `respond` writes to it after it has sent something; returns the address. */
async function listenRaw(respond: (connection: Socket, head: Buffer) => void): Promise<string> {
    const connections = new Set<Socket>();
    const server = createServer(connection => {
        connections.add(connection);
        connection.on("error", () => {});
        connection.once("data", head => respond(connection, head as Buffer));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const close = async (): Promise<void> => {
        connections.forEach(connection => connection.destroy());
        server.close();
    };
    servers.push({ port, close });
    return `http://127.0.0.1:${port}`;
}

const codeName = (call: Promise<unknown>): Promise<string> =>
    call.then(() => "ok", error => codeOf(error).name);

afterEach(async () => {
    await Promise.all(servers.splice(0).map(server => server.close()));
});

const plainRequest = (change: Partial<PlainRequest> = {}): PlainRequest => ({
    attempt: "p1" as AttemptId,
    service: "tiles" as ServiceId,
    team: "lugo" as TeamId,
    method: "POST",
    path: "/tile?z=1",
    headers: { "idempotency-key": "k1" },
    body: Buffer.from("body"),
    idempotent: false,
    digest: "d" as ContentDigest,
    budgetMs: 1_000,
    ...change,
});

async function textOf(body: AsyncIterable<Uint8Array>): Promise<string> {
    const parts: Uint8Array[] = [];
    for await (const part of body) {
        parts.push(part);
    }
    return Buffer.concat(parts).toString("utf8");
}

test("the object API client over HTTP behaves like the store in memory", async () => {
    const clock = createSystemClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(1) });
    const http = createHttpObjectStore(await listen(serveObjectStore(store)));
    const key = "jobs/a b/steps/1";
    const written = await http.write(key, { n: 1 }, absentVersion);
    const raced = await http.write(key, { n: 2 }, absentVersion);
    const listed = await http.list("jobs/");
    const watched = http.watch("jobs/", listed.revision, 5_000);
    await http.remove(key, 1 as ObjectVersion);
    const changes = await watched;
    const absent = await http.read(key);
    control.loseAnswers(1);
    const lost = await codeName(http.write("b", 1, absentVersion));
    control.setOutage(true);
    const down = await codeName(http.read(key));
    http.close();
    expect({ written, raced, listed, changes, absent, lost, down }).toMatchSnapshot();
});

test("an object API that is unreachable or sends malformed responses is reported as unavailable", async () => {
    const unreachable = createHttpObjectStore("http://127.0.0.1:9", { timeoutMs: 1_000 });
    expect(await codeName(unreachable.read("a"))).toBe("storeUnavailable");
    const { backend } = createFakePlainService({ clock: createSystemClock() });
    const malformed = createHttpObjectStore(await listen(servePlainService(backend)));
    expect(await codeName(malformed.list("a"))).toBe("storeUnavailable");
});

test("clients of the VM list, weight store and scoring return results and error codes over HTTP", async () => {
    const clock = createFakeClock();
    const record: VmRecord = {
        vm: "vm-1" as VmId,
        address: "http://127.0.0.1:1",
        failureDomain: "Lugo" as FailureDomain,
        region: "norte" as Region,
        role: "entry",
        sampler: undefined,
        state: "live",
    };
    const vms = createFakeVmList({ clock, lagMs: 0, records: [record] });
    const vmList = createHttpVmList(await listen(serveVmList(vms.vmList)));
    expect(await vmList()).toEqual([record]);
    vms.control.setOutage(true);
    expect(await codeName(vmList())).toBe("vmListUnavailable");

    const weights = createFakeWeightStore({ clock, transferMs: 0, maxConcurrent: 0 });
    const download = createHttpWeightStore(await listen(serveWeightStore(weights.weightStore)));
    expect(await codeName(download(policy, 1 as WeightVersion, "x"))).toBe("weightStoreThrottled");

    const scores = createFakeScoring({ clock, latencyMs: 0 });
    const score = createHttpScoring(await listen(serveScoring(scores.scoring)));
    expect(await score("s", "prompt", "text")).toBe(await scores.scoring("s", "prompt", "text"));
    scores.control.setOutage(true);
    expect(await codeName(score("s", "prompt", "text"))).toBe("scoringUnavailable");
});

test("the engine client streams whole texts, sends orders and reports a crash as crashed", async () => {
    const served = [{ policy, version: 1 as WeightVersion }];
    const clock = createSystemClock();
    const options = {
        clock,
        random: createRandom(1),
        served,
        tokensPerSecond: 10_000,
        chunkMs: 5,
        swapMs: 1,
    };
    const { engine, control } = createFakeEngine({ ...options, lengthOf: () => 200 });
    const http = createHttpEngine(await listen(serveEngine(engine)));
    const request: EngineRequest = {
        attempt: "a1" as AttemptId,
        policy,
        prompt: "ridge",
        resumeText: "",
        resumeTokens: 0,
        maxTokens: 500,
        priority: 1,
        seed: 4,
    };
    let text = "";
    const finish = await http.generate(request, chunk => (text += chunk.text), neverAborted);
    expect(finish.reason).toBe("stop");
    expect(text).toBe(fakeText("ridge", 4, 0, 200));

    const fencing = 3 as FencingNumber;
    const load = { kind: "load" as const, policy, version: 2 as WeightVersion, location: "", fencing };
    expect(await http.order(load)).toEqual({ kind: "done" });
    expect((await http.describe()).served).toEqual([{ policy, version: 2 }]);
    expect(await http.importCache(request.attempt, "nonsense")).toBe(false);

    control.crashOn(() => true, 5);
    const crashed = await http.generate({ ...request, attempt: "a2" as AttemptId }, () => {}, neverAborted);
    expect(crashed.reason).toBe("crashed");
    expect(await codeName(http.describe())).toBe("engineUnreachable");
});

test("a plain request is reported as notRun only if it cannot have been sent", async () => {
    // Guards against a request that runs twice because its connection broke and it was retried.
    const { backend, control } = createFakePlainService({ clock: createSystemClock() });
    const address = await listen(servePlainService(backend));
    const http = createHttpPlainBackend(address);
    const ran = await http(plainRequest(), neverAborted);
    expect(ran.kind === "ran" && await textOf(ran.answer.body)).toContain('"path":"/tile?z=1"');
    control.breakAfterRun(1);
    expect(await http(plainRequest(), neverAborted)).toMatchObject({ kind: "unknown" });
    expect(control.runsByKey().get("k1")).toBe(2);

    const unreachable = createHttpPlainBackend("http://127.0.0.1:9");
    expect(await unreachable(plainRequest(), neverAborted)).toMatchObject({ kind: "notRun" });
    expect(await http(plainRequest({ path: "/a b" }), neverAborted)).toMatchObject({ kind: "notRun" });
});

test("a truncated response body rejects", async () => {
    const { backend, control } = createFakePlainService({ clock: createSystemClock() });
    const http = createHttpPlainBackend(await listen(servePlainService(backend)));
    control.cutBody(1);
    const cut = await http(plainRequest(), neverAborted);
    expect(cut.kind).toBe("ran");
    expect(await codeName(cut.kind === "ran" ? textOf(cut.answer.body) : Promise.resolve())).toBe(
        "connectionBroken",
    );
});

test("a path that looks like another host is sent to the configured server", async () => {
    const { backend, control } = createFakePlainService({ clock: createSystemClock() });
    const http = createHttpPlainBackend(await listen(servePlainService(backend)));
    const outcome = await http(plainRequest({ path: "//127.0.0.1:9/x" }), neverAborted);
    expect(outcome.kind).toBe("ran");
    expect(control.runsByAttempt().get("p1")).toBe(1);
});

const engineRequest: EngineRequest = {
    attempt: "a1" as AttemptId,
    policy,
    prompt: "p",
    maxTokens: 8,
    seed: 1,
    priority: 0,
    resumeText: "",
    resumeTokens: 0,
};

const endless: Record<string, { head: string; block: string; }> = {
    "informational responses": { head: "", block: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100) },
    "a header": { head: "HTTP/1.1 200 OK\r\nname: ", block: "x".repeat(65_536) },
    "no HTTP": { head: "", block: "x".repeat(65_536) },
    "a text": {
        head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        block: `data: ${JSON.stringify({ choices: [{ text: "x".repeat(60_000) }] })}\n\n`,
    },
    "malformed chunks": {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        block: "zz\r\n".repeat(1_000),
    },
    "malformed events": {
        head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        block: "data: x\n\n".repeat(1_000),
    },
    "one event": {
        head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: ",
        block: "x".repeat(65_536),
    },
};

test.each(Object.keys(endless))(
    "an engine that sends %s without end is given up, and so is a service",
    async output => {
        // Guards against a process that keeps all that such a server sends, and a call that never ends.
        const { head, block } = endless[output]!;
        const address = await listenRaw(connection => {
            connection.write(head);
            const write = (): void => {
                if (connection.destroyed) {
                    return;
                }
                if (connection.write(block)) {
                    setImmediate(write);
                }
                else {
                    connection.once("drain", write);
                }
            };
            write();
        });
        let chars = 0;
        const generated = createHttpEngine(address).generate(
            engineRequest,
            ({ text }) => chars += text.length,
            neverAborted,
        );
        const store = createHttpObjectStore(address);
        const names = [
            await generated.then(({ reason }) => reason, error => codeOf(error).name),
            await codeName(store.read("a")),
        ];
        store.close();
        expect([...names, chars < 1_000_000]).toEqual(["engineUnreachable", "storeUnavailable", true]);
    },
    10_000,
);

test("bytes that follow a whole completion belong to no answer", async () => {
    // Guards against a sound text that is made again since its engine sent more than it.
    const event = { choices: [{ text: "t", finish_reason: "stop" }] };
    const body = `data: ${JSON.stringify(event)}\n\ndata: [DONE]\n\n`;
    const address = await listenRaw(connection =>
        void connection.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}no HTTP`)
    );
    const engine = createHttpEngine(address);
    const { reason } = await engine.generate(engineRequest, () => {}, neverAborted);
    expect(reason).toBe("stop");
});

const cuts: Record<string, (connection: Socket) => void> = {
    "is reset with its last bytes": connection => void connection.resetAndDestroy(),
    "is reset": connection => void setTimeout(() => connection.resetAndDestroy(), 30),
    "never ends": () => {},
};

test.each(Object.keys(cuts))("an answer without a length that %s is not taken for a whole one", async cut => {
    // Guards against a part of a body that is delivered as the whole.
    const address = await listenRaw((connection, head) => {
        const part = head.includes("/tile") ? "half" : "";
        connection.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${part}`);
        cuts[cut]!(connection);
    });
    const store = createHttpObjectStore(address, { timeoutMs: 100 });
    const plain = await createHttpPlainBackend(address)(plainRequest(), AbortSignal.timeout(100));
    const names = [
        await codeName(store.read("a")),
        await codeName(plain.kind === "ran" ? textOf(plain.answer.body) : Promise.resolve()),
    ];
    store.close();
    expect(names).toEqual(["storeUnavailable", "connectionBroken"]);
});
