import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { Route } from "@auburnarch/routing/Route";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { expect, test } from "vitest";
import { createRelay } from "./createRelay.js";
import type { Relay } from "./Relay.js";
import type { SamplerReply } from "./SamplerReply.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const service = "tiles" as ServiceId;
const gateways = 4;
const returns = 8;
const killAfterMs = 30;
const restartMs = 3_000;
const returnEveryMs = 5_000;
const noSignal = new AbortController().signal;

const samplers = ["s1", "s2", "s3", "s4"].map((name): KnownSampler => ({
    incarnation: name as IncarnationId,
    instance: name,
    bornAtMs: undefined,
    service,
    host: "10.0.0.1",
    port: 1,
    failureDomain: "lugo" as FailureDomain,
    maxBatch: 4,
    isDraining: false,
    served: [],
}));

const route: Route = {
    name: "r",
    host: "a",
    pathPrefix: "/",
    kind: "idempotent",
    isResumable: false,
    timeoutMs: 1_500,
    targetLatencyMs: 200,
    backends: [{ service, weight: 1 }],
    maxAttempts: 3,
    deadlineMs: undefined,
    itemTtlMs: undefined,
    isSingleVersion: false,
};

const broken: SamplerReply = { kind: "unknown", code: resultCodes.connectionBroken, detail: "reset" };
const notConnected: SamplerReply = { kind: "notRun", code: resultCodes.connectFailed, detail: "refused" };

test("a request that kills samplers is retried at most three times after the third, whatever gateway it comes to", async () => {
    // Guards against: one request that its client sends again takes down two samplers more each time.
    const clock = createFakeClock();
    const upAtMs = new Map<string, number>();
    let kills = 0;
    const createGateway = (): Relay =>
        createRelay({
            callSampler: async request => {
                const name = request.sampler.instance;
                if (clock.monotonicMs() < (upAtMs.get(name) ?? 0)) {
                    return notConnected;
                }
                kills++;
                await clock.sleep(killAfterMs, noSignal);
                upAtMs.set(name, clock.monotonicMs() + restartMs);
                return broken;
            },
            directory: {
                isKnown: () => true,
                serving: () => samplers,
                find: () => undefined,
                isListed: () => true,
                ageMs: () => 0,
            },
            clock,
            random: createRandom(1),
            logger: silent,
            metrics: createMetrics(),
            invariants: createInvariants(silent, code => {
                throw new Error(code.name);
            }),
            failureDomain: "lugo" as FailureDomain,
        });
    const relays = Array.from({ length: gateways }, createGateway);
    let retries = 0;
    for (let sent = 0; sent < returns; sent++) {
        const before = kills;
        const killedThree = kills >= 3;
        const body = Buffer.from("killer");
        const request = {
            requestId: `q${sent}`,
            route,
            method: "POST",
            host: "a",
            path: "/",
            headers: {},
            body,
        };
        void relays[sent % gateways]!({ ...request, deadlineMs: 2_000 }, noSignal);
        await clock.advance(returnEveryMs);
        retries += killedThree ? Math.max(0, kills - before - 1) : 0;
    }
    expect(retries).toBeLessThanOrEqual(3);
});
