import { encodeTestBatchJob } from "@auburnarch/platform/testing/encodeTestBatchJob";
import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import { encodeTestSampler } from "@auburnarch/platform/testing/encodeTestSampler";
import { wireHeaders } from "@auburnarch/platform/wireHeaders";
import { expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

const model = "m0";
const items = Array.from({ length: 12 }, (_, index) => `i${index}`);
const kinds = ["servers", "config", "versions", "retirements", "runners"];
const nested = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);
const nestedObject = (depth: number): string => '{"a":'.repeat(depth) + "1" + "}".repeat(depth);
const entry = JSON.stringify(encodeTestSampler({ service: "other", port: 7_000 }));
const entryWith = (field: string, value: string): string =>
    `${entry.slice(0, -1)},${JSON.stringify(field)}:${value}}`;

/** What another writer may have left in place of an entry, as JSON texts. */
const oddEntries = {
    "a list nested 100,000 deep": nested(100_000),
    "an object nested 20,000 deep": nestedObject(20_000),
    "an unknown field nested 20,000 deep": entryWith("x", nested(20_000)),
    "a state nested 20,000 deep": entryWith("state", nestedObject(20_000)),
    "models nested 20,000 deep": entryWith("models", nested(20_000)),
    "a number beyond all numbers": entryWith("max-batch-size", "1e400"),
    "a sequence beyond all numbers": entryWith("sequence", "-1e400"),
    "a version of weights beyond all numbers": entryWith(
        "models",
        '[{"name":"m0","version":1e400,"adapters":[]}]',
    ),
    "a start time beyond all numbers": entryWith("born", "1e400"),
    "an unsafe integer": entryWith("sequence", "9007199254740993"),
    "port 65536": entryWith("address", '"127.0.0.1:65536"'),
    "port 99999999999999999999": entryWith("address", '"127.0.0.1:99999999999999999999"'),
    "port -1": entryWith("address", '"127.0.0.1:-1"'),
    "port 0": entryWith("address", '"127.0.0.1:0"'),
    "port 1e3": entryWith("address", '"127.0.0.1:1e3"'),
    "an address without a port": entryWith("address", '"127.0.0.1"'),
    "an address that is no host": entryWith("address", '"\\u0000:80"'),
};

const cases: [string, string[]][] = [
    ...Object.entries(oddEntries).map(([name, text]): [string, string[]] => [name, [text]]),
    ["all of them", Object.values(oddEntries)],
];

test.each(cases)(
    "beside entries with %s, processes start, take over and follow the store",
    async (_title, texts) => {
        // Guards against processes that end, or stop following a kind, at an entry of another writer.
        const testBed = await createPlatformTestBed();
        const putOdd = (name: string): void =>
            kinds.forEach(kind =>
                texts.forEach((text, index) => testBed.store.putText(kind, `${name}-${index}`, text))
            );
        const put = (version: number, extraRoutes: string[]): void => {
            testBed.store.put(
                "config",
                "main",
                encodeTestConfiguration({ version, models: [model], extraRoutes }),
            );
        };
        const send = async (port: number, path: string): Promise<number> =>
            (await testBed.call(port, "POST", path, {
                [wireHeaders.requestId]: `q-${path}-${Math.round(performance.now())}`,
                [wireHeaders.deadlineMs]: "2000",
            })).status;
        const countResults = async (port: number): Promise<number | undefined> => {
            const answer = await testBed.call(port, "GET", "/v1/lots/lot-1?after=0");
            const { results } = answer.status === 200
                ? JSON.parse(answer.body) as { results: { state: string; }[]; }
                : { results: [] };
            return results.length < items.length
                ? undefined
                : results.filter(({ state }) => state === "completed").length;
        };
        try {
            put(3, []);
            putOdd("odd-at-start");
            await testBed.addSampler({ id: "t-1", service: "tiles" });
            await testBed.addSampler({ id: "e-1", service: "llm", models: [model], eventIntervalMs: 100 });
            const leaving = await testBed.startRunnerAt("runner-1");
            await testBed.startRunnerAt("runner-2");
            const { port, readyPort } = await testBed.startGatewayAt("front-1");
            await testBed.waitFor(async () =>
                (await testBed.call(readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
            );
            const job = encodeTestBatchJob({
                lot: "lot-1",
                model,
                step: 0,
                minVersion: 1,
                items,
                groupSize: 4,
            });
            await testBed.waitFor(async () => {
                const headers = { [wireHeaders.requestId]: "lot-1" };
                return (await testBed.call(port, "POST", `/${model}/lot-1`, headers, job)).status === 202
                    ? true
                    : undefined;
            });
            putOdd("odd-later");
            await leaving.shutdown();
            await testBed.addSampler({ id: "e-2", service: "llm", models: [model] });
            put(4, ["added"]);
            await testBed.waitFor(async () => await send(port, "/added/1") === 200 ? true : undefined);
            expect([await send(port, "/tiles/1"), await testBed.waitFor(() => countResults(port))])
                .toEqual([200, items.length]);
            expect(testBed.violations).toEqual([]);
        }
        finally {
            testBed.close();
        }
    },
    30_000,
);
