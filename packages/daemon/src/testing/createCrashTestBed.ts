import type { RequestFate } from "@auburnarch/platform/testing/RequestFate";
import { testClientLimits } from "@auburnarch/platform/testing/testClientLimits";
import { createPlatformTestBed } from "./createPlatformTestBed.js";

interface CrashTestBedOptions {
    /** One crash-inducing request in this many fails instead of being run; none by default. */
    failsOneIn?: number;
    /** Whether crashed samplers fall silent instead of resetting their connections. */
    isSilent?: boolean;
}

const service = "tiles";
const samplerCount = 6;
/** A crashed sampler's entry expires, and its successor registers, after these times. */
const entryExpiryMs = 1_000;
const restartMs = 2_000;
const crashesBeforeLimit = 3;
/** Time for reports to arrive everywhere; retries count from then on. */
const reportingMs = 3_000;
const crashInducingBody = "crash-inducing";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const configuration = {
    version: 3,
    routes: [{
        name: service,
        host: "a.example",
        "path-prefix": "/tiles/",
        kind: "idempotent",
        service,
        "max-attempts": 2,
        "timeout-ms": 2_000,
        "target-latency-ms": 200,
    }],
    services: [{ name: service }],
    limits: testClientLimits,
};

/**
 * Runs gateways and runners in front of six samplers that one body crashes. A crashed sampler is replaced by a new one
 * two seconds later.
 */
export async function createCrashTestBed(options: CrashTestBedOptions = {}) {
    const bed = await createPlatformTestBed();
    const samplers: Awaited<ReturnType<typeof bed.addSampler>>[] = [];
    let started = 0;
    let crashInducing = 0;
    let sent = 0;
    bed.store.put("config", "main", configuration);

    function fateOf(body: string): RequestFate {
        if (!body.startsWith(crashInducingBody)) {
            return "answered";
        }
        crashInducing++;
        if (options.failsOneIn !== undefined && crashInducing % options.failsOneIn === 0) {
            return "failed";
        }
        return options.isSilent === true ? "silenced" : "crashed";
    }

    async function startSampler(): Promise<void> {
        const id = `t-${++started}`;
        const onCrash = (): void => {
            setTimeout(() => bed.store.remove("servers", id), entryExpiryMs);
            setTimeout(() => void startSampler(), restartMs);
        };
        samplers.push(await bed.addSampler({ id, service, fateOf, onCrash }));
    }

    for (let at = 0; at < samplerCount; at++) {
        await startSampler();
    }

    async function call(port: number, body: string): Promise<number> {
        const path = `/tiles/${body}`;
        const headers = { "auburnarch-request-id": `${body}-${++sent}`, "auburnarch-deadline-ms": "2000" };
        return (await bed.call(port, "POST", path, headers, body)).status;
    }

    async function startReadyGateway(name: string): Promise<number> {
        const { port, readyPort } = await bed.startGatewayAt(name);
        await bed.waitFor(async () =>
            (await bed.call(readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
        );
        return port;
    }

    return {
        ...bed,
        sleep,
        startReadyGateway,
        /** Sends the crash-inducing request and resolves with the status. */
        sendCrashInducing: (port: number) => call(port, crashInducingBody),
        /** Sends a harmless request, with the same content for the same name, and resolves with the status. */
        sendHarmless: (port: number, name: string) => call(port, name),
        /** Runs of the crash-inducing request, and those of them that count as retries after its third crash. */
        countRuns: () => {
            const runs = samplers.flatMap(sampler => sampler.runs())
                .filter(run => run.id.startsWith(crashInducingBody))
                .sort((a, b) => a.atMs - b.atMs);
            const limitFromMs = (runs[crashesBeforeLimit - 1]?.atMs ?? Infinity) + reportingMs;
            return { runs: runs.length, late: runs.filter(run => run.atMs > limitFromMs).length };
        },
    };
}
