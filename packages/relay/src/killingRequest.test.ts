import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { expect, test } from "vitest";
import type { Relay } from "./Relay.js";
import type { SamplerReply } from "./SamplerReply.js";
import { createTestRelay } from "./testing/createTestRelay.js";
import { createTestRoute } from "./testing/createTestRoute.js";

const gateways = 4;
const returns = 8;
const killAfterMs = 30;
const restartMs = 3_000;
const returnEveryMs = 5_000;
const noSignal = new AbortController().signal;

const samplers = ["s1", "s2", "s3", "s4"].map(name => createTestSampler(name));
const route = createTestRoute("idempotent");

const broken: SamplerReply = { kind: "unknown", code: resultCodes.connectionBroken, detail: "reset" };
const notConnected: SamplerReply = { kind: "notRun", code: resultCodes.connectFailed, detail: "refused" };

test("a request that kills samplers is retried at most three times after the third, whatever gateway it comes to", async () => {
    // Guards against: one request that its client sends again takes down two samplers more each time.
    const clock = createFakeClock();
    const upAtMs = new Map<string, number>();
    let kills = 0;
    const createGateway = (): Relay =>
        createTestRelay({
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
            clock,
            samplers,
        });
    const relays = Array.from({ length: gateways }, createGateway);
    let retries = 0;
    for (let sent = 0; sent < returns; sent++) {
        const before = kills;
        const killedThree = kills >= 3;
        const body = Buffer.from("killer");
        const request = {
            requestId: `q${sent}`,
            team: undefined,
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
