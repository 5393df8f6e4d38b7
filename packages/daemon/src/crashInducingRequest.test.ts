import { expect, test, type TestContext } from "vitest";
import { createCrashTestBed } from "./testing/createCrashTestBed.js";

/** Retries after the third crash that are allowed. */
const allowedRetries = 3;
const sendIntervalMs = 1_500;
const rounds = 14;
const ok = 200;

async function startFleet(
    { onTestFinished }: TestContext,
    options: Parameters<typeof createCrashTestBed>[0] = {},
) {
    const bed = await createCrashTestBed(options);
    onTestFinished(bed.close);
    const runner = await bed.startRunnerAt("storage-1");
    const ports = await Promise.all([1, 2, 3, 4, 5].map(at => bed.startReadyGateway(`front-${at}`)));
    const portAt = (at: number): number => ports[at % ports.length]!;
    return { bed, ports, portAt, runner };
}

test.concurrent(
    "a request that crashes samplers and is sent to several gateways at once gets few retries",
    async context => {
        // Guards against crashes that are lost when several processes count them at the same time.
        const { bed, portAt } = await startFleet(context);
        for (let round = 0; round < rounds; round++) {
            for (let at = 0; at < 5; at++) {
                void bed.sendCrashInducing(portAt(at));
            }
            await bed.sleep(sendIntervalMs);
        }
        expect(bed.countRuns().late).toBeLessThanOrEqual(allowedRetries);
    },
    60_000,
);

test.concurrent("a request that crashes samplers silently gets few retries", async context => {
    // Guards against crashes that are not noticed because connections fall silent instead of being reset.
    const { bed, portAt } = await startFleet(context, { isSilent: true });
    for (let round = 0; round < rounds; round++) {
        void bed.sendCrashInducing(portAt(round));
        await bed.sleep(sendIntervalMs);
    }
    expect(bed.countRuns().late).toBeLessThanOrEqual(allowedRetries);
}, 60_000);

test.concurrent(
    "a request that crashes samplers and at times fails instead gets few retries",
    async context => {
        // Guards against evidence that is cleared by an answer of a sampler that did not run the request.
        const { bed, portAt } = await startFleet(context, { failsOneIn: 2 });
        for (let round = 0; round < rounds; round++) {
            void bed.sendCrashInducing(portAt(round));
            await bed.sleep(sendIntervalMs);
        }
        expect(bed.countRuns().late).toBeLessThanOrEqual(allowedRetries);
    },
    60_000,
);

test.concurrent(
    "a request that crashes samplers gets few retries while the runner and gateways are replaced",
    async context => {
        // Guards against evidence that ends with the processes that saw it.
        const { bed, portAt, runner } = await startFleet(context);
        for (let round = 0; round < 3; round++) {
            void bed.sendCrashInducing(portAt(round));
            await bed.sleep(sendIntervalMs);
        }
        await bed.startRunnerAt("storage-2");
        await runner.shutdown();
        for (let round = 0; round < rounds - 3; round++) {
            const port = await bed.startReadyGateway(`front-new-${round}`);
            void bed.sendCrashInducing(port);
            await bed.sleep(sendIntervalMs);
        }
        expect(bed.countRuns().late).toBeLessThanOrEqual(allowedRetries);
    },
    60_000,
);

test.concurrent(
    "a request that crashes samplers gets few retries while no runner runs and gateways are replaced",
    async context => {
        // Guards against processes that start with an older count, because later breaks did not reach the store.
        const { bed, portAt, runner } = await startFleet(context);
        await runner.shutdown();
        for (let round = 0; round < 3; round++) {
            void bed.sendCrashInducing(portAt(round));
            await bed.sleep(sendIntervalMs);
        }
        for (let round = 0; round < rounds - 3; round++) {
            const port = await bed.startReadyGateway(`front-new-${round}`);
            void bed.sendCrashInducing(port);
            await bed.sleep(sendIntervalMs);
        }
        expect(bed.countRuns().late).toBeLessThanOrEqual(allowedRetries);
    },
    60_000,
);

test.concurrent(
    "a harmless content that ran beside a request that crashes samplers is served again soon",
    async context => {
        // Guards against bystanders that stay refused because of crashes that they did not cause.
        const { bed, portAt } = await startFleet(context);
        const statuses: number[] = [];
        for (let round = 0; round < rounds; round++) {
            void bed.sendCrashInducing(portAt(round));
            for (let at = 0; at < 15; at++) {
                void bed.sendHarmless(portAt(at), "beside").then(status => statuses.push(status));
                await bed.sleep(sendIntervalMs / 15);
            }
        }
        await bed.sleep(sendIntervalMs);
        expect(statuses.slice(-60).filter(status => status === ok).length).toBeGreaterThanOrEqual(58);
    },
    60_000,
);
