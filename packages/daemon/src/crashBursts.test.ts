import { encodeTestBatchJob } from "@auburnarch/platform/testing/encodeTestBatchJob";
import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

const model = "m0";
const items = Array.from({ length: 12 }, (_, index) => `i${index}`);
const events = 4;
/** Longer than a burst lasts, so that runs crash before their first event. */
const eventIntervalMs = 500;
const bursts = 5;
const burstIntervalMs = 400;
/** An item that can run may be at no sampler for this long at most. */
const maxUnplacedMs = 5_000;

test(
    "sound items under which all samplers crashed in five bursts are whole soon after the calm",
    async () => {
        // Guards against items that are never placed again, though all is calm and the samplers have room.
        const testBed = await createPlatformTestBed();
        try {
            testBed.store.put(
                "config",
                "main",
                encodeTestConfiguration({ version: 3, models: [model], extraRoutes: [] }),
            );
            await testBed.addSampler({ id: "t-1", service: "tiles" });
            const startSamplers = (burst: number) =>
                Promise.all(["a", "b", "c"].map(async name => {
                    const id = `e-${name}-${burst}`;
                    const sampler = await testBed.addSampler({
                        id,
                        service: "llm",
                        models: [model],
                        events,
                        eventIntervalMs,
                    });
                    return { id, sampler };
                }));
            let samplers = await startSamplers(0);
            const gateway = await testBed.startGatewayAt("front-1");
            await testBed.startRunnerAt("runner-1");
            await testBed.waitFor(async () =>
                (await testBed.call(gateway.readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
            );
            const lot = encodeTestBatchJob({
                lot: "lot-1",
                model,
                step: 0,
                minVersion: 1,
                items,
                groupSize: 4,
            });
            await testBed.call(
                gateway.port,
                "POST",
                `/${model}/lot-1`,
                { "auburnarch-request-id": "lot-1" },
                lot,
            );
            let crashedRuns = 0;
            for (let burst = 1; burst <= bursts; burst++) {
                await testBed.waitFor(() =>
                    samplers.some(({ sampler }) => sampler.runs().length > 0) || undefined
                );
                await sleep(burstIntervalMs / 2);
                crashedRuns += samplers.reduce((sum, { sampler }) => sum + sampler.runs().length, 0);
                samplers.forEach(({ id, sampler }) => {
                    sampler.close();
                    testBed.store.remove("servers", id);
                });
                samplers = await startSamplers(burst);
                await sleep(burstIntervalMs / 2);
            }
            const calmAtMs = performance.now();
            const page = await testBed.waitFor(async () => {
                const answer = await testBed.call(gateway.port, "GET", "/v1/lots/lot-1?after=0");
                const read = JSON.parse(answer.body) as { results: { state: string; }[]; };
                const isOver = performance.now() - calmAtMs > maxUnplacedMs + events * eventIntervalMs;
                return read.results.length >= items.length || isOver ? read : undefined;
            });
            expect(crashedRuns).toBeGreaterThan(items.length);
            expect(page.results.filter(({ state }) => state === "completed")).toHaveLength(items.length);
        }
        finally {
            testBed.close();
        }
    },
    60_000,
);
