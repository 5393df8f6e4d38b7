import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { expect, test } from "vitest";
import type { RequestForwarder } from "./RequestForwarder.js";
import type { SamplerReply } from "./SamplerReply.js";
import { createTestForwarder } from "./testing/createTestForwarder.js";
import { createTestRoute } from "./testing/createTestRoute.js";

const gateways = 4;
const sendCount = 8;
const crashAfterMs = 30;
const restartMs = 3_000;
const sendIntervalMs = 5_000;
const noSignal = new AbortController().signal;

const samplers = ["s1", "s2", "s3", "s4"].map(name => createTestSampler(name));
const route = createTestRoute("idempotent");

const broken: SamplerReply = { kind: "unknown", code: resultCodes.connectionBroken, detail: "reset" };
const notConnected: SamplerReply = { kind: "notRun", code: resultCodes.connectFailed, detail: "refused" };

test("a crash-inducing request is retried at most three times after the third crash, at any gateway", async () => {
    // Guards against a request that crashes two more samplers each time its client sends it again.
    const clock = createFakeClock();
    const upAtMs = new Map<string, number>();
    let crashes = 0;
    const createGateway = (): RequestForwarder =>
        createTestForwarder({
            callSampler: async request => {
                const name = request.sampler.instance;
                if (clock.monotonicMs() < (upAtMs.get(name) ?? 0)) {
                    return notConnected;
                }
                crashes++;
                await clock.sleep(crashAfterMs, noSignal);
                upAtMs.set(name, clock.monotonicMs() + restartMs);
                return broken;
            },
            clock,
            samplers,
        });
    const forwarders = Array.from({ length: gateways }, createGateway);
    let retries = 0;
    for (let sent = 0; sent < sendCount; sent++) {
        const before = crashes;
        const hasCrashedThree = crashes >= 3;
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
        void forwarders[sent % gateways]!({ ...request, deadlineMs: 2_000 }, noSignal);
        await clock.advance(sendIntervalMs);
        retries += hasCrashedThree ? Math.max(0, crashes - before - 1) : 0;
    }
    expect(retries).toBeLessThanOrEqual(3);
});
