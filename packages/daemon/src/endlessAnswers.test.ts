import { encodeTestBatchJob } from "@auburnarch/platform/testing/encodeTestBatchJob";
import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import { serveEndlessSampler } from "@auburnarch/platform/testing/serveEndlessSampler";
import { expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

type EndlessOutput = Parameters<typeof serveEndlessSampler>[0]["output"];

const model = "m0";
const items = Array.from({ length: 24 }, (_, index) => `i${index}`);
const plainRequests = 60;
const events = 5;
/** What a process may use beside its calm memory: the VMs have 200 MB, of which the programs take under 80 when idle. */
const maxAddedBytes = 120_000_000;
const stepDueMs = 7_500;
const outputs: EndlessOutput[] = [
    "numbered events",
    "comment lines",
    "one long line",
    "chunks",
    "a failure",
    "informational responses",
    "headers",
    "a header",
    "no HTTP",
    "a chunk extension",
    "a refusal",
    "a slow refusal",
];

const textOf = (item: string): string =>
    Array.from({ length: events }, (_, index) => `${item}-${index + 1}`).join("\n");

function trackPeakBytes(): () => number {
    const startBytes = process.memoryUsage.rss();
    let peakBytes = startBytes;
    const timer = setInterval(() => peakBytes = Math.max(peakBytes, process.memoryUsage.rss()), 5);
    return () => {
        clearInterval(timer);
        return peakBytes - startBytes;
    };
}

test.each(outputs)(
    "beside samplers that send %s without end, all items and requests are answered whole, in bounded memory",
    async output => {
        // Guards against items and requests that are lost, or cut, at samplers whose answers never end.
        const testBed = await createPlatformTestBed();
        const closers: (() => void)[] = [testBed.close];
        try {
            testBed.store.put(
                "config",
                "main",
                encodeTestConfiguration({ version: 3, models: [model], extraRoutes: [] }),
            );
            for (const id of ["t-1", "t-2"]) {
                await testBed.addSampler({ id, service: "tiles" });
            }
            for (const id of ["e-1", "e-2"]) {
                await testBed.addSampler({ id, service: "llm", models: [model], events });
            }
            const troubled = [
                await serveEndlessSampler({ id: "t-0", service: "tiles", output }),
                await serveEndlessSampler({ id: "e-0", service: "llm", models: [model], output }),
            ];
            troubled.forEach(sampler => {
                testBed.store.put("servers", sampler.id, sampler.entry());
                closers.push(sampler.close);
            });
            const gateway = await testBed.startGatewayAt("front-1");
            await testBed.startRunnerAt("runner-1");
            await testBed.waitFor(async () =>
                (await testBed.call(gateway.readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
            );
            const endPeak = trackPeakBytes();
            const startedAtMs = performance.now();
            const lot = encodeTestBatchJob({
                lot: "lot-1",
                model,
                step: 0,
                minVersion: 1,
                items,
                groupSize: 4,
            });
            const accepted = await testBed.call(
                gateway.port,
                "POST",
                `/${model}/lot-1`,
                { "auburnarch-request-id": "lot-1" },
                lot,
            );
            const plain = await Promise.all(
                Array.from(
                    { length: plainRequests },
                    (_, index) =>
                        testBed.call(gateway.port, "POST", "/tiles/1", {
                            "auburnarch-request-id": `q-${index}`,
                            "auburnarch-deadline-ms": "2000",
                        }, `tile ${index}`),
                ),
            );
            const page = await testBed.waitFor(async () => {
                const answer = await testBed.call(gateway.port, "GET", "/v1/lots/lot-1?after=0");
                const read = answer.status === 200
                    ? JSON.parse(answer.body) as {
                        results: { id: string; state: string; output: string; }[];
                    }
                    : { results: [] };
                const isOver = performance.now() - startedAtMs > stepDueMs;
                return read.results.length >= items.length || isOver ? read : undefined;
            });
            const addedBytes = endPeak();
            const wholeItems = page.results.filter(({ id, state, output: text }) =>
                state === "completed" && text === textOf(id)
            );
            const wholeAnswers = plain.filter(({ status, body }) => status === 200 && body === "ok");
            expect({
                accepted: accepted.status,
                items: wholeItems.length,
                answers: wholeAnswers.length,
                isBounded: addedBytes < maxAddedBytes,
                isTroubled: troubled.every(sampler => sampler.runs() > 0),
            }).toEqual({
                accepted: 202,
                items: items.length,
                answers: plainRequests,
                isBounded: true,
                isTroubled: true,
            });
        }
        finally {
            closers.forEach(close => close());
        }
    },
    30_000,
);
