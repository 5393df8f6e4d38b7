import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import { createBatchJobReader } from "@auburnarch/batches/createBatchJobReader";
import { createBatchJobStore } from "@auburnarch/batches/createBatchJobStore";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createTestDirectory } from "@auburnarch/discovery/testing/createTestDirectory";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ForwardingOutcome } from "@auburnarch/forwarding/ForwardingOutcome";
import type { RequestForwarder } from "@auburnarch/forwarding/RequestForwarder";
import type { RoutedRequest } from "@auburnarch/forwarding/RoutedRequest";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { BodyBudget } from "@auburnarch/overload/BodyBudget";
import { createBodyBudget } from "@auburnarch/overload/createBodyBudget";
import type { Credential } from "@auburnarch/routing/Credential";
import type { Route } from "@auburnarch/routing/Route";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { KeyDigest } from "@auburnarch/types/KeyDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { TeamId } from "@auburnarch/types/TeamId";
import { expect, test } from "vitest";
import type { ClientAnswer } from "./ClientAnswer.js";
import type { ClientCall } from "./ClientCall.js";
import type { ClientRequest } from "./ClientRequest.js";
import { createGateway } from "./createGateway.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const route = (over: Partial<Route>): Route => ({
    name: "tiles",
    host: "a.example",
    pathPrefix: "/tiles/",
    kind: "idempotent",
    isResumable: false,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    backends: [],
    maxAttempts: 2,
    deadlineMs: undefined,
    itemTtlMs: undefined,
    isSingleVersion: false,
    allowsAnonymous: false,
    priority: undefined,
    ...over,
});
const table: RoutingTable = {
    version: 3 as ConfigVersion,
    routes: [route({}), route({ name: "plume", pathPrefix: "/plume/", kind: "rollout" })],
    services: new Map(),
    clientLimits: {
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
    },
    teams: undefined,
    faults: [],
};
const batchJobOf = (id: BatchJobId): BatchJob => ({
    lot: id,
    team: undefined,
    host: "a.example",
    path: "/plume/1",
    step: 0 as BatchJob["step"],
    policy: undefined,
    neededGroups: undefined,
    minVersion: 0 as BatchJob["minVersion"],
    items: [{
        item: "item-1" as SampleId,
        group: undefined,
        path: "/plume/1/1",
        headers: {},
        bodyBase64: Buffer.from("prompt").toString("base64"),
        maxOutputTokens: 10,
        expectedOutputTokens: undefined,
        reward: undefined,
    }],
});

function createFixture(
    over: {
        batchJobStore?: (realStore: BatchJobStore) => BatchJobStore;
        routing?: () => RoutingTable | undefined;
        bodyBudget?: BodyBudget;
        forwardRequest?: RequestForwarder;
    } = {},
) {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(1) });
    const real = createBatchJobStore(store);
    const batchJobStore = over.batchJobStore?.(real) ?? real;
    const state = { storeSilentMs: 0, isKnown: true, routingAgeMs: 0 };
    const forwardedRequests: RoutedRequest[] = [];
    const forwardOutcome: ForwardingOutcome = {
        kind: "failed",
        code: resultCodes.noSampler,
        detail: "",
        retryAfterMs: 100,
    };
    const gateway = createGateway({
        routing: over.routing ?? (() => table),
        directory: { ...createTestDirectory([]), isKnown: () => state.isKnown },
        routingAgeMs: () => state.routingAgeMs,
        forwardRequest: async (request, signal) => {
            forwardedRequests.push(request);
            return over.forwardRequest?.(request, signal) ?? forwardOutcome;
        },
        bodyBudget: over.bodyBudget ?? createBodyBudget({ maxHeldBytes: 1_000_000 }),
        batchJobStore,
        batchJobReader: createBatchJobReader(batchJobStore, clock, async () => undefined),
        decodeBatchJob: id => batchJobOf(id),
        storeSilentMs: () => state.storeSilentMs,
        clock,
        random: createRandom(2),
        logger: silent,
        metrics: createMetrics(),
    });
    const ask = async (call: ClientCall): Promise<string> => {
        const answering = gateway.answer(call, new AbortController().signal);
        await clock.advance(5_000);
        return describeAnswer(await answering);
    };
    const post = (
        path: string,
        requestId = "r-1",
        credential: Credential = { kind: "none" },
    ): Promise<string> =>
        ask({
            kind: "request",
            request: {
                requestId: requestId === "" ? undefined : requestId,
                method: "POST",
                host: "a.example",
                path,
                headers: {},
                credential,
                credentialHeaders: () => ({ authorization: "as sent" }),
                deadlineMs: 1_000,
                readBody: async () => new Uint8Array(),
            },
        });
    return { gateway, state, control, ask, post, forwardedRequests };
}

const describeAnswer = (answer: ClientAnswer): string => {
    if (answer.kind === "failed") {
        return `${answer.code.httpStatus} ${answer.code.name} ${answer.retryAfterMs ?? "-"}`;
    }
    return answer.kind === "lotPage"
        ? `page ${answer.page.results.length} of ${answer.page.total}`
        : answer.kind;
};
const batchJobId = "r-1" as BatchJobId;
const anonymousCall = { host: "a.example", credential: { kind: "none" } } as const;

test("a batch job can be submitted, read and ended, also repeatedly", async () => {
    const { post, ask } = createFixture();
    const answers = [
        await post("/plume/1"),
        await post("/plume/1"),
        await ask({ kind: "readLot", ...anonymousCall, batchJobId, after: 0, waitMs: 0 }),
        await ask({ kind: "readItem", ...anonymousCall, batchJobId, item: "item-1" }),
        await ask({ kind: "endLot", ...anonymousCall, batchJobId }),
        await ask({ kind: "endLot", ...anonymousCall, batchJobId }),
    ];
    expect(answers).toEqual(["lotAccepted", "lotAccepted", "page 0 of 1", "lotItem", "lotEnded", "lotEnded"]);
});

test("calls with an unknown route, batch job, request id, configuration or sampler are refused", async () => {
    const { post, ask } = createFixture();
    const none = createFixture({ routing: () => undefined });
    expect({
        route: await post("/other/1"),
        lot: await ask({
            kind: "readLot",
            ...anonymousCall,
            batchJobId: "r-9" as BatchJobId,
            after: 0,
            waitMs: 0,
        }),
        id: await post("/plume/1", ""),
        noConfiguration: await none.post("/tiles/1"),
        noSampler: await post("/tiles/1"),
    }).toMatchInlineSnapshot(`
      {
        "id": "400 badRequest -",
        "lot": "404 unknownLot -",
        "noConfiguration": "503 notReady 250",
        "noSampler": "503 noSampler 100",
        "route": "404 unknownRoute -",
      }
    `);
});

test("a batch job is not reported as unknown while the store is unreachable", async () => {
    // Guards against telling a reader that its batch job does not exist.
    const { post, ask, control } = createFixture();
    await post("/plume/1");
    control.setOutage(true);
    expect(await ask({ kind: "readLot", ...anonymousCall, batchJobId, after: 0, waitMs: 0 })).toBe(
        "503 storeUnavailable 250",
    );
});

test("a batch job whose acceptance is unknown is not answered as refused", async () => {
    // Guards against items that run although every submission of their batch job was answered with 503.
    const loseAcceptAnswer = (real: BatchJobStore): BatchJobStore => ({
        ...real,
        accept: async (...args) => {
            await real.accept(...args);
            return { kind: "unknown", error: new ResultError(resultCodes.storeUnavailable, "answer lost") };
        },
    });
    const { post } = createFixture({ batchJobStore: loseAcceptAnswer });
    expect(await post("/plume/1")).toBe("502 acceptanceUnknown -");
});

test("an end whose outcome is unknown is not answered as refused", async () => {
    // Guards against a client that takes its end for one that never happens, and reads or repeats the batch job.
    const { post, ask, control } = createFixture();
    await post("/plume/1");
    control.setOutage(true);
    expect(await ask({ kind: "endLot", ...anonymousCall, batchJobId })).toBe("502 endUnknown -");
});

test("a gateway is not ready without a store or known samplers, or after markNotReady", async () => {
    // Guards against the load balancer sending clients to a gateway that cannot reach the store: without this check all
    // batch jobs of one failure domain are lost for nine seconds.
    const { gateway, state } = createFixture();
    const seen = [gateway.isReady()];
    state.storeSilentMs = 1_000;
    seen.push(gateway.isReady());
    state.storeSilentMs = 0;
    state.isKnown = false;
    seen.push(gateway.isReady());
    state.isKnown = true;
    seen.push(gateway.isReady());
    gateway.markNotReady();
    seen.push(gateway.isReady());
    expect(seen).toEqual([true, false, false, true, false]);
});

const keyOf = (digest: string): Credential => ({ kind: "key", digest: digest as KeyDigest });
const withTeams: RoutingTable = {
    ...table,
    routes: [...table.routes, route({ name: "open", pathPrefix: "/open/", allowsAnonymous: true })],
    teams: new Map([
        ["d-hule" as KeyDigest, { team: "hule" as TeamId, priority: undefined }],
        ["d-fida" as KeyDigest, { team: "fida" as TeamId, priority: 2 }],
    ]),
};

test("a request without a configured key is refused and reaches no sampler", async () => {
    const { post, forwardedRequests } = createFixture({ routing: () => withTeams });
    const answers = [
        await post("/tiles/1"),
        await post("/tiles/1", "r-2", keyOf("d-nobody")),
        await post("/tiles/1", "r-3", { kind: "unusable", fault: "more than one credential" }),
        await post("/plume/1", "r-4", keyOf("d-nobody")),
    ];
    expect(answers).toEqual(Array.from({ length: 4 }, () => "401 unknownKey -"));
    expect(forwardedRequests).toEqual([]);
});

test("the forwarder receives the priority of the team", async () => {
    // Guards against a priority that is configured and has no effect.
    const { post, forwardedRequests } = createFixture({ routing: () => withTeams });
    await post("/tiles/1", "r-1", keyOf("d-fida"));
    await post("/tiles/1", "r-2", keyOf("d-hule"));
    await post("/open/1", "r-3");
    expect(forwardedRequests.map(({ teamPriority }) => teamPriority)).toEqual([2, undefined, undefined]);
});

test("a sampler receives the team of the key but never the key", async () => {
    const { post, forwardedRequests } = createFixture({ routing: () => withTeams });
    await post("/tiles/1", "r-1", keyOf("d-hule"));
    await post("/open/1", "r-2");
    await post("/open/1", "r-3", keyOf("d-nobody"));
    await post("/open/1", "r-4", keyOf("d-fida"));
    expect(forwardedRequests.map(({ team, headers }) => [team, headers])).toEqual([
        ["hule", {}],
        [undefined, {}],
        [undefined, {}],
        ["fida", {}],
    ]);
});

test("a credential is forwarded to the sampler if the configuration has no teams", async () => {
    const { post, forwardedRequests } = createFixture();
    await post("/tiles/1", "r-1", keyOf("d-hule"));
    expect(forwardedRequests.map(({ team, headers }) => [team, headers])).toEqual([
        [undefined, { authorization: "as sent" }],
    ]);
});

test("a batch job is unknown to other teams, and they cannot end it", async () => {
    const { post, ask } = createFixture({ routing: () => withTeams });
    await post("/plume/1", "r-1", keyOf("d-hule"));
    const callsOf = (credential: Credential): Promise<string>[] => {
        const call = { host: "a.example", credential, batchJobId };
        return [
            ask({ kind: "readLot", ...call, after: 0, waitMs: 0 }),
            ask({ kind: "readItem", ...call, item: "item-1" }),
            ask({ kind: "endLot", ...call }),
        ];
    };
    expect(await Promise.all(callsOf(keyOf("d-fida")))).toEqual(
        Array.from({ length: 3 }, () => "404 unknownLot -"),
    );
    expect(await Promise.all(callsOf({ kind: "none" }))).toEqual(
        Array.from({ length: 3 }, () => "401 unknownKey -"),
    );
    expect(await Promise.all(callsOf(keyOf("d-hule")))).toEqual(["page 0 of 1", "lotItem", "lotEnded"]);
});

test("an unknown key or route is answered with notReady while the configuration may be out of date", async () => {
    // Guards against a disconnected process that reports a newly added key as permanently unknown.
    const { post, state } = createFixture({ routing: () => withTeams });
    state.routingAgeMs = 10_000;
    expect([await post("/tiles/1", "r-1", keyOf("d-new")), await post("/new/1", "r-2", keyOf("d-hule"))])
        .toEqual(["503 notReady 250", "503 notReady 250"]);
});

test("a body stays counted while its request is forwarded, and bodies that do not fit are refused as not run", async () => {
    // Guards against bodies that are held without being counted, and against counts that are never freed.
    const bodyBudget = createBodyBudget({ maxHeldBytes: 100 });
    const held: number[] = [];
    const { ask, forwardedRequests } = createFixture({
        bodyBudget,
        forwardRequest: async () => {
            held.push(bodyBudget.heldBytes());
            throw new ResultError(resultCodes.noSampler, "");
        },
    });
    const send = (bytes: number, over: Partial<ClientRequest> = {}): Promise<string> =>
        ask({
            kind: "request",
            request: {
                requestId: "r-1",
                method: "POST",
                path: "/tiles/1",
                headers: {},
                ...anonymousCall,
                credentialHeaders: () => ({}),
                deadlineMs: 300,
                readBody: async (_maxBytes, hold) => {
                    if (!hold.reserve(bytes)) {
                        throw new ResultError(resultCodes.bodiesFull, "");
                    }
                    hold.complete();
                    return new Uint8Array(bytes);
                },
                ...over,
            },
        });
    expect(await send(60)).toMatch(/^503 noSampler/u);
    expect(held).toEqual([60]);
    expect(await send(101)).toMatch(/^503 bodiesFull \d\d?$/u);
    expect(await send(101, { path: "/plume/1" })).toMatch(/^503 bodiesFull \d\d?$/u);
    expect(await send(60, { requestId: undefined })).toMatch(/^400 badRequest/u);
    const broken = new ResultError(resultCodes.connectionBroken, "");
    expect(await send(60, { readBody: () => Promise.reject(broken) })).toMatch(/^502 connectionBroken/u);
    // A batch job also takes the memory of its decoded items.
    expect(await send(60, { path: "/plume/1" })).toMatch(/^503 bodiesFull \d\d?$/u);
    expect(await send(11, { path: "/plume/1" })).toBe("lotAccepted");
    expect([bodyBudget.heldBytes(), forwardedRequests.length]).toEqual([0, 1]);
});
