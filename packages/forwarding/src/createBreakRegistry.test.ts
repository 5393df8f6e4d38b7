import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import { expect, test } from "vitest";
import type { BreakRegistry } from "./BreakRegistry.js";
import { createBreakRegistry } from "./createBreakRegistry.js";
import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import type { SamplerReply } from "./SamplerReply.js";
import { createTestForwarder } from "./testing/createTestForwarder.js";
import { createTestRoute } from "./testing/createTestRoute.js";

const noSignal = new AbortController().signal;
const content = "c" as ContentDigest;

const route = createTestRoute("idempotent");

async function* bytes(): AsyncGenerator<Uint8Array> {
    yield Buffer.from("tile");
}

const answered = (): SamplerReply => ({
    kind: "answered",
    status: 200,
    headers: {},
    body: bytes(),
    signature: "proof",
    weightVersion: undefined,
});
const broken: SamplerReply = { kind: "unknown", code: resultCodes.connectionBroken, detail: "reset" };
const notConnected: SamplerReply = { kind: "notRun", code: resultCodes.connectFailed, detail: "refused" };

const restartMs = 3_000;
const workMs = 25;
/** Wait of one feed query to the runner; each gateway reports breaks with its query. */
const exchangeIntervalMs = 800;
const reportWindowMs = 3_000;

/** Gateways that exchange reports through one runner, and samplers that the body "killer" crashes. */
function createFleet(
    { gateways, samplers, isSharing }: { gateways: number; samplers: number; isSharing: boolean; },
) {
    const clock = createFakeClock();
    const upAtMs = new Map<string, number>();
    const crashes: number[] = [];
    const names = Array.from({ length: samplers }, (_, at) => createTestSampler(`s${at}`));
    const hub = createBreakRegistry(clock);

    async function callSampler(name: string, isCrashInducing: boolean): Promise<SamplerReply> {
        if (clock.monotonicMs() < (upAtMs.get(name) ?? 0)) {
            return notConnected;
        }
        await clock.sleep(workMs, noSignal);
        if (isCrashInducing) {
            crashes.push(clock.monotonicMs());
            upAtMs.set(name, clock.monotonicMs() + restartMs);
        }
        return clock.monotonicMs() < (upAtMs.get(name) ?? 0) ? broken : answered();
    }

    function exchange(breaks: BreakRegistry): void {
        hub.merge(breaks.listOwn(reportWindowMs));
        breaks.merge(hub.listAll(reportWindowMs));
        clock.startTimer(exchangeIntervalMs, () => exchange(breaks));
    }

    const forwarders = Array.from({ length: gateways }, (_, at) => {
        const breaks = createBreakRegistry(clock);
        if (isSharing) {
            clock.startTimer(at * exchangeIntervalMs / gateways, () => exchange(breaks));
        }
        return createTestForwarder({
            callSampler: ({ sampler, body }) =>
                callSampler(sampler.instance, Buffer.from(body).toString() === "killer"),
            clock,
            samplers: names,
            seed: at,
            breaks,
        });
    });
    const send = (at: number, text: string): Promise<ForwardingOutcome> => {
        const body = Buffer.from(text);
        const asked = {
            requestId: `${text}${at}`,
            team: undefined,
            route,
            method: "POST",
            host: "a",
            path: "/",
            headers: {},
            body,
        };
        return forwarders[at % gateways]!({ ...asked, deadlineMs: 2_000 }, noSignal);
    };
    return { clock, crashes, send };
}

async function sendCrashInducing(isSharing: boolean) {
    const { clock, crashes, send } = createFleet({ gateways: 58, samplers: 8, isSharing });
    const ends: string[] = [];
    let harmless = 0;
    for (let at = 0; at < 40; at++) {
        void send(at, "killer").then(outcome => {
            ends.push(outcome.kind === "failed" ? outcome.code.name : "answered");
        });
        await clock.advance(500);
        void send(at + 7, `tile ${at}`).then(outcome => {
            harmless += outcome.kind === "answered" ? 1 : 0;
        });
        await clock.advance(1_000);
    }
    return { crashes: crashes.length, paused: ends.filter(end => end === "contentPaused").length, harmless };
}

test("a crash-inducing request is known at 58 gateways within the time of one feed query", async () => {
    expect(await sendCrashInducing(false)).toEqual({ crashes: 41, paused: 0, harmless: 27 });
    expect(await sendCrashInducing(true)).toEqual({ crashes: 5, paused: 32, harmless: 40 });
});

test("the refusal of a crash-inducing request contains the time of the next attempt, and it runs then", async () => {
    const { clock, crashes, send } = createFleet({ gateways: 1, samplers: 4, isSharing: false });
    for (let at = 0; at < 2; at++) {
        void send(at, "killer");
        await clock.advance(5_000);
    }
    void send(2, "killer");
    await clock.advance(100);
    const refused = await send(3, "killer");
    expect(refused).toMatchObject({ code: { name: "contentPaused", httpStatus: 503 } });
    expect(refused.kind === "failed" && Math.round(refused.retryAfterMs!)).toBe(9_925);
    const before = crashes.length;
    await clock.advance(9_925);
    void send(4, "killer");
    await clock.advance(100);
    expect(crashes.length - before).toBe(1);
});

test("a content that broke off beside others is cleared everywhere by its first completed attempt", async () => {
    // Guards against a harmless request that stays paused because another one crashed its samplers.
    const clock = createFakeClock();
    const here = createBreakRegistry(clock);
    const there = createBreakRegistry(clock);
    for (let breaks = 0; breaks < 3; breaks++) {
        here.recordBreak(content);
    }
    there.merge(here.listOwn(reportWindowMs));
    expect([there.pauseMs(content), there.mayRetry(content)]).toEqual([1_000, false]);
    await clock.advance(1_000);
    there.recordCompletion(content);
    here.merge(there.listOwn(reportWindowMs));
    expect([here.pauseMs(content), here.mayRetry(content)]).toEqual([0, true]);
});

test("reports that arrive late or twice change nothing", async () => {
    const clock = createFakeClock();
    const here = createBreakRegistry(clock);
    here.recordBreak(content);
    here.recordBreak(content);
    const old = here.listOwn(reportWindowMs);
    await clock.advance(500);
    here.recordCompletion(content);
    here.merge(old.map(mark => ({ ...mark, ageMs: 500 })));
    here.merge(old.map(mark => ({ ...mark, ageMs: 700 })));
    expect(here.mayRetry(content)).toBe(true);
    expect(here.listAll(reportWindowMs)).toEqual([{ content, breaks: 0, ageMs: 0 }]);
});

test("processes that count concurrently do not reset each other's count", async () => {
    const clock = createFakeClock();
    const here = createBreakRegistry(clock);
    const there = createBreakRegistry(clock);
    here.recordBreak(content);
    here.recordBreak(content);
    await clock.advance(10);
    there.recordBreak(content);
    here.merge(there.listOwn(reportWindowMs));
    expect(here.mayRetry(content)).toBe(false);
});

test("the registry is bounded and its records expire", async () => {
    const clock = createFakeClock();
    const memory = createBreakRegistry(clock);
    memory.recordBreak(content);
    memory.recordBreak(content);
    for (let at = 0; at < 1_023; at++) {
        memory.recordBreak(`other ${at}` as ContentDigest);
    }
    expect(memory.mayRetry(content)).toBe(false);
    memory.recordBreak("one more" as ContentDigest);
    expect(memory.mayRetry(content)).toBe(true);
    expect(memory.listAll(Infinity).length).toBe(32);
    memory.recordBreak("one more" as ContentDigest);
    await clock.advance(3_600_000);
    expect([memory.mayRetry("one more" as ContentDigest), memory.listAll(reportWindowMs)]).toEqual([
        true,
        [],
    ]);
});
