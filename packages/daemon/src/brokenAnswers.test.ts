import { brokenAnswers } from "@auburnarch/platform/testing/brokenAnswers";
import { createFakeClient } from "@auburnarch/platform/testing/createFakeClient";
import { encodeTestBatchJob } from "@auburnarch/platform/testing/encodeTestBatchJob";
import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import { serveBrokenSampler } from "@auburnarch/platform/testing/serveBrokenSampler";
import { wireHeaders } from "@auburnarch/platform/wireHeaders";
import { afterAll, beforeAll, expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

type TestBed = Awaited<ReturnType<typeof createPlatformTestBed>>;
type BrokenSampler = Awaited<ReturnType<typeof serveBrokenSampler>>;

interface Reply {
    /** The error of a connection that ended without an answer. */
    status: number | string;
    isSigned: boolean;
    body: string;
}

const model = "m0";
const events = 5;
const items = Array.from({ length: 12 }, (_, index) => `i${index}`);
const soundBody = "ok";
const brokenBody = "from the broken sampler";
const requestsBeside = 8;
const repeats = 5;
const stepDueMs = 7_500;
const answers = Object.keys(brokenAnswers) as (keyof typeof brokenAnswers)[];
const cases = answers.flatMap(answer => [
    { title: `${answer}, whose sampler closes then`, answer, keepsConnections: false },
    { title: `${answer}, whose sampler keeps its connection`, answer, keepsConnections: true },
]).map((each, index) => ({ ...each, index }));
const titledCases = cases.map(each => [each.title, each.index] as const);

const client = createFakeClient();
let testBed: TestBed;
let port: number;
let alone: BrokenSampler[];
let beside: BrokenSampler[];

const routeOf = (
    name: string,
    service: string,
    fields: Record<string, unknown>,
): Record<string, unknown> => ({
    name,
    "host": "a.example",
    "path-prefix": `/${name}/`,
    "kind": "idempotent",
    service,
    "max-attempts": 3,
    "timeout-ms": 3_000,
    "target-latency-ms": 200,
    ...fields,
});

function encodeConfiguration(): unknown {
    const base = encodeTestConfiguration({ version: 3, models: [model], extraRoutes: [] }) as {
        routes: unknown[];
        services: unknown[];
    };
    return {
        ...base,
        routes: [
            ...base.routes,
            ...cases.flatMap(({ index }) => [
                routeOf(`idempotent-${index}`, `alone-${index}`, {}),
                routeOf(`other-${index}`, `alone-${index}`, { kind: "non_idempotent" }),
                routeOf(`stream-${index}`, `alone-${index}`, { streaming: true }),
                routeOf(`beside-${index}`, `beside-${index}`, {}),
            ]),
        ],
        services: [
            ...base.services,
            ...cases.flatMap(({ index }) => [{ name: `alone-${index}` }, { name: `beside-${index}` }]),
        ],
    };
}

async function addBrokenSampler(options: Parameters<typeof serveBrokenSampler>[0]): Promise<BrokenSampler> {
    const sampler = await serveBrokenSampler(options);
    testBed.store.put("servers", sampler.id, sampler.entry());
    return sampler;
}

async function send(path: string, requestId: string): Promise<Reply> {
    const reply = await client.call(port, {
        method: "POST",
        path,
        requestId,
        body: "content",
        limitMs: 3_000,
    });
    return reply.kind === "answered"
        ? { status: reply.status, isSigned: reply.proof !== undefined, body: reply.body }
        : { status: reply.detail, isSigned: false, body: "" };
}

beforeAll(async () => {
    testBed = await createPlatformTestBed();
    testBed.store.put("config", "main", encodeConfiguration());
    const bodyOf = (): string => brokenBody;
    alone = await Promise.all(cases.map(({ answer, keepsConnections, index }) =>
        addBrokenSampler({
            id: `a-${index}`,
            service: `alone-${index}`,
            answer,
            keepsConnections,
            bodyOf,
        })
    ));
    beside = await Promise.all(cases.map(async ({ answer, keepsConnections, index }) => {
        await testBed.addSampler({ id: `s-${index}`, service: `beside-${index}` });
        return addBrokenSampler({
            id: `b-${index}`,
            service: `beside-${index}`,
            answer,
            keepsConnections,
            bodyOf,
        });
    }));
    const gateway = await testBed.startGatewayAt("front-1");
    ({ port } = gateway);
    await testBed.startRunnerAt("runner-1");
    await testBed.waitFor(async () =>
        (await testBed.call(gateway.readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
    );
});

afterAll(() => {
    [...alone, ...beside].forEach(sampler => sampler.close());
    client.close();
    testBed.close();
});

test.each(titledCases)(
    "an answer with %s, is a failure of its sampler towards the client",
    async (_title, index) => {
        // Guards against broken answers that reach clients, cut them off, or run a request twice.
        const kinds = ["idempotent", "other", "stream"];
        const replies = await Promise.all(kinds.map(kind => send(`/${kind}-${index}/1`, `${kind}-${index}`)));
        expect(replies.map(({ status, isSigned, body }) => [status, isSigned, body.includes(brokenBody)]))
            .toEqual(kinds.map(() => [502, false, false]));
        const runs = alone[index]!.runs();
        expect([...runs].sort()).toEqual(kinds.map(kind => `${kind}-${index}`));
    },
);

test.each(titledCases)(
    "an answer with %s, is replaced by one of another sampler",
    async (_title, index) => {
        // Guards against idempotent requests that fail though a sound sampler is there.
        const replies = await Promise.all(
            Array.from(
                { length: requestsBeside },
                (_, request) => send(`/beside-${index}/${request}`, `beside-${index}-${request}`),
            ),
        );
        expect(replies.map(({ status, body }) => [status, body])).toEqual(
            replies.map(() => [200, soundBody]),
        );
        expect(beside[index]!.runs().length).toBeGreaterThan(0);
    },
);

test.each(titledCases)(
    "an answer with %s, says nothing of the content of its request",
    async (_title, index) => {
        // Guards against a harmless content that is paused since its sampler sends broken answers.
        const ids = Array.from({ length: repeats }, (_, repeat) => `repeat-${index}-${repeat}`);
        const statuses = [];
        for (const id of ids) {
            statuses.push((await send(`/other-${index}/repeat`, id)).status);
        }
        const marks = testBed.lines.filter(line =>
            /event=(?:breakRecorded|requestPaused)/u.test(line)
            && ids.some(id => line.includes(`request=${id} `))
        );
        expect({ statuses, marks }).toEqual({ statuses: ids.map(() => 502), marks: [] });
    },
);

test.each(answers)("items and scores beside samplers that send an answer with %s are whole", async answer => {
    // Guards against items that are listed as completed without their text, and scores that no sampler gave.
    const name = `j${answers.indexOf(answer)}-`;
    const ids = items.map(item => `${name}-${item}`);
    const eventsOf = (item: string): string =>
        Array.from({ length: events }, (_, index) => `id: ${index + 1}\ndata: broken-${item}\n\n`).join("");
    // A new one for each answer: a sampler that is known to be fast would get everything.
    const sound = [await testBed.addSampler({ id: `e-${name}`, service: "llm", models: [model], events })];
    const troubled = [
        await addBrokenSampler({ id: `bt-${name}`, service: "tiles", answer, bodyOf: () => brokenBody }),
        await addBrokenSampler({
            id: `be-${name}`,
            service: "llm",
            models: [model],
            answer,
            bodyOf: eventsOf,
        }),
    ];
    try {
        await testBed.waitFor(() =>
            [...sound, ...troubled].every(({ id }) => isSeenByRunner(id)) ? true : undefined
        );
        const whenDone = runBatchJob(name, ids);
        await testBed.waitFor(() => troubled.every(({ runs }) => runs().length > 0) ? true : undefined);
        sound.push(await testBed.addSampler({ id: `t-${name}`, service: "tiles" }));
        const results = await whenDone;
        const textOf = (item: string): string =>
            Array.from({ length: events }, (_, index) => `${item}-${index + 1}`).join("\n");
        const expected = ids.map(id => ({
            id,
            state: "completed",
            output: textOf(id),
            score: `proof of score-${id}`,
        }));
        const byId = results.map(({ id, state, output, score }) => ({ id, state, output, score }))
            .sort((left, right) => ids.indexOf(left.id) - ids.indexOf(right.id));
        expect(byId).toEqual(expected);
    }
    finally {
        [...sound, ...troubled].forEach(sampler => {
            testBed.store.remove("servers", sampler.id);
            sampler.close();
        });
    }
}, 30_000);

interface Result {
    id: string;
    state: string;
    output: string;
    score?: string;
}

const isSeenByRunner = (sampler: string): boolean =>
    testBed.lines.some(line =>
        line.includes("event=samplerSeen") && line.includes("process=runner-1") && line.includes(sampler)
    );

async function runBatchJob(name: string, ids: string[]): Promise<Result[]> {
    const job = encodeTestBatchJob({ lot: name, model, step: 0, minVersion: 1, items: ids, groupSize: 4 });
    const accepted = await testBed.waitFor(async () => {
        const headers = { [wireHeaders.requestId]: name };
        const answer = await testBed.call(port, "POST", `/${model}/${name}`, headers, job);
        return answer.status === 202 ? true : undefined;
    });
    expect(accepted).toBe(true);
    const startedAtMs = performance.now();
    return testBed.waitFor(async () => {
        const answer = await testBed.call(port, "GET", `/v1/lots/${name}?after=0`);
        const { results } = answer.status === 200
            ? JSON.parse(answer.body) as { results: Result[]; }
            : { results: [] };
        const isOver = performance.now() - startedAtMs > stepDueMs;
        return results.length >= ids.length || isOver ? results : undefined;
    });
}
