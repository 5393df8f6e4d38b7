import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import type { FakeSampler } from "@auburnarch/platform/testing/FakeSampler";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

const model = "m0";
const firstKey = "first-s3cret-of-hule";
const secondKey = "second-s3cret-of-hule";
const otherKey = "s3cret-of-fida";
const secrets = /s3cret/u;

const config = (version: number, huleKeys: string[]): unknown =>
    encodeTestConfiguration({
        version,
        models: [model],
        extraRoutes: [],
        openRoutes: ["scores"],
        tenants: [
            { "name": "hule", "api-keys": huleKeys, "priority": 1 },
            { "name": "fida", "api-keys": [otherKey] },
            { "name": "broken", "api-keys": "no-list-s3cret" },
        ],
    });

let testBed: Awaited<ReturnType<typeof createPlatformTestBed>>;
let gateway: Awaited<ReturnType<typeof testBed.startGatewayAt>>;
let tiles: FakeSampler;
let engine: FakeSampler;

beforeEach(async () => {
    testBed = await createPlatformTestBed();
    testBed.store.put("config", "main", config(3, [firstKey, secondKey]));
    gateway = await testBed.startGatewayAt("front-1");
    tiles = await testBed.addSampler({ id: "t-1", service: "tiles" });
    engine = await testBed.addSampler({
        id: "e-1",
        service: "llm",
        models: [model],
        events: 40,
        eventIntervalMs: 15,
    });
    await testBed.waitFor(async () =>
        (await testBed.call(gateway.readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
    );
});

afterEach(() => {
    testBed.close();
    expect(testBed.violations).toEqual([]);
});

const call = (method: string, path: string, key: string, over: Record<string, string> = {}, body = "") =>
    testBed.call(gateway.port, method, path, { authorization: `bearer ${key}`, ...over }, body);

const plain = (id: string, key: string) =>
    call("POST", "/tiles/7", key, { "auburnarch-request-id": id, "auburnarch-tenant": "fida" });

const submit = (id: string, key: string) =>
    call(
        "POST",
        `/${model}/${id}`,
        key,
        { "auburnarch-request-id": id },
        JSON.stringify({
            step: 0,
            model,
            items: [{
                id: `${id}-item`,
                path: `/${model}/${id}/1`,
                headers: {
                    "Auburnarch-Model": model,
                    "Auburnarch-Tenant": "fida",
                    "Authorization": `Bearer ${otherKey}`,
                },
                body: "",
                tokens: 100,
                scorer: { id: `score-${id}`, host: "a.example", path: "/scores/1", body: "" },
            }],
        }),
    );

const listRunTeams = ({ runs }: FakeSampler): unknown[] =>
    runs().map(({ id, team, credential }) => [id, team, credential]);

const readResults = (id: string, key: string): Promise<number> =>
    testBed.waitFor(async () => {
        const { status, body } = await call("GET", `/v1/lots/${id}?after=0`, key, {
            "auburnarch-wait-ms": "500",
        });
        const results = status === 200 ? (JSON.parse(body) as { results: unknown[]; }).results : [];
        return results.length > 0 ? results.length : undefined;
    });

test("samplers receive the team of the key, not one that a client claims, and reward calls carry none", async () => {
    await testBed.startRunnerAt("runner-1");
    expect((await plain("q-1", firstKey)).status).toBe(200);
    expect((await submit("lot-1", secondKey)).status).toBe(202);
    expect(await readResults("lot-1", firstKey)).toBe(1);
    expect(listRunTeams(engine)).toEqual([["lot-1-item", "hule", undefined]]);
    expect(listRunTeams(tiles)).toEqual([["q-1", "hule", undefined], ["score-lot-1", undefined, undefined]]);
});

test("an item continues for its team after its runner has left and its key has been revoked", async () => {
    const first = await testBed.startRunnerAt("runner-1");
    await submit("lot-1", firstKey);
    await testBed.waitFor(() => engine.runs().length > 0 ? true : undefined);
    testBed.store.put("config", "main", config(4, [secondKey]));
    await first.shutdown();
    await testBed.startRunnerAt("runner-2");
    expect(await readResults("lot-1", secondKey)).toBe(1);
    expect(new Set(engine.runs().map(run => run.team))).toEqual(new Set(["hule"]));
});

test("a revoked key is rejected on open connections, and no sampler runs its requests", async () => {
    expect((await plain("q-1", firstKey)).status).toBe(200);
    testBed.store.put("config", "main", config(4, [secondKey]));
    await testBed.waitFor(async () => (await plain("q-2", firstKey)).status === 401 ? true : undefined);
    const runs = tiles.runs().length;
    const refused = await plain("q-3", firstKey);
    expect([refused.status, JSON.parse(refused.body)]).toMatchObject([401, {
        code: 1017,
        name: "unknownKey",
    }]);
    expect((await plain("q-4", secondKey)).status).toBe(200);
    expect(tiles.runs().length).toBe(runs + 1);
});

test("no key appears in log lines, metrics, answers to peers or stored objects", async () => {
    const runner = await testBed.startRunnerAt("runner-1");
    await submit("lot-1", firstKey);
    await plain("q-1", "unknown-s3cret");
    await call("GET", "/v1/lots/lot-1?after=0", "other s3cret words");
    await call("GET", "/v1/lots/lot-1?after=0", otherKey);
    expect(await readResults("lot-1", firstKey)).toBe(1);
    const feed = await testBed.waitFor(async () => {
        const answer = await testBed.callInternal("runner-1", "runner.feed", {
            prefix: "config/",
            waitMs: 200,
        });
        return answer.includes("key-digests") ? answer : undefined;
    });
    const metrics = await testBed.metricsOf("front-1");
    const storedObjects = testBed.store.dump(kind => kind !== "config");
    await runner.shutdown();
    const written = [...testBed.lines, feed, metrics, storedObjects].filter(text => secrets.test(text));
    expect(written).toEqual([]);
    expect(testBed.lines.filter(line => line.includes("event=configPartLeftOut")).length).toBeGreaterThan(0);
});
