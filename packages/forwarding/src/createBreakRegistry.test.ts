import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import fc from "fast-check";
import { expect, test } from "vitest";
import type { BreakExchange } from "./BreakExchange.js";
import type { BreakRegistry } from "./BreakRegistry.js";
import { createBreakExchange } from "./createBreakExchange.js";
import { createBreakRegistry } from "./createBreakRegistry.js";
import { createContentTrials } from "./createContentTrials.js";
import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import type { SamplerReply } from "./SamplerReply.js";
import { createTestForwarder } from "./testing/createTestForwarder.js";
import { createTestRoute } from "./testing/createTestRoute.js";

const noSignal = new AbortController().signal;
const content = "c" as ContentDigest;
const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const sampler = (at: number): IncarnationId => `s${at}` as IncarnationId;

/** Lets two processes tell each other what they know. */
function exchangeAll(a: BreakRegistry, b: BreakRegistry): void {
    b.merge(a.listReports(), "a");
    a.merge(b.listReports(), "b");
}

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
const storeLatencyMs = 4;

/** Gateways that exchange reports through one runner, and samplers that the body "killer" crashes. */
function createFleet(
    { gateways, samplers, isSharing }: { gateways: number; samplers: number; isSharing: boolean; },
) {
    const clock = createFakeClock();
    const upAtMs = new Map<string, number>();
    const crashes: number[] = [];
    const names = Array.from({ length: samplers }, (_, at) => createTestSampler(`s${at}`));
    const hub = createBreakRegistry(clock);
    const hubExchange = createBreakExchange("hub", hub);
    const { store } = createFakeObjectStore({ clock, random: createRandom(9), latencyMs: storeLatencyMs });

    /** A crashed sampler starts again under the same name, as another start. */
    function restart(name: string): void {
        upAtMs.set(name, clock.monotonicMs() + restartMs);
        const incarnation = `${name}.${crashes.length}` as IncarnationId;
        clock.startTimer(restartMs, () => {
            names[names.findIndex(each => each.instance === name)] = createTestSampler(name, { incarnation });
        });
    }

    async function callSampler(name: string, isCrashInducing: boolean): Promise<SamplerReply> {
        if (clock.monotonicMs() < (upAtMs.get(name) ?? 0)) {
            return notConnected;
        }
        await clock.sleep(workMs, noSignal);
        if (isCrashInducing) {
            crashes.push(clock.monotonicMs());
            restart(name);
        }
        return clock.monotonicMs() < (upAtMs.get(name) ?? 0) ? broken : answered();
    }

    function exchange(own: BreakExchange): void {
        const query = own.createQuery("hub").contents;
        hubExchange.receiveQuery(query);
        own.receiveAnswer("hub", hubExchange.createAnswer(query).contents);
        clock.startTimer(exchangeIntervalMs, () => exchange(own));
    }

    const forwarders = Array.from({ length: gateways }, (_, at) => {
        const breaks = createBreakRegistry(clock);
        if (isSharing) {
            const own = createBreakExchange(`g${at}`, breaks);
            clock.startTimer(at * exchangeIntervalMs / gateways, () => exchange(own));
        }
        const trials = createContentTrials({
            store,
            breaks,
            clock,
            random: createRandom(at),
            logger: silent,
        });
        return createTestForwarder({
            callSampler: ({ sampler, body }) =>
                callSampler(sampler.instance, Buffer.from(body).toString() === "killer"),
            clock,
            samplers: names,
            seed: at,
            breaks,
            ...(isSharing ? { trials } : {}),
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
        here.recordBreak(content, sampler(breaks));
    }
    exchangeAll(here, there);
    expect([there.pauseMs(content), there.mayRetry(content)]).toEqual([1_000, false]);
    await clock.advance(1_000);
    there.recordCompletion(content);
    exchangeAll(here, there);
    expect([here.pauseMs(content), here.mayRetry(content)]).toEqual([0, true]);
});

test("reports that arrive late or twice change nothing", async () => {
    const clock = createFakeClock();
    const here = createBreakRegistry(clock);
    here.recordBreak(content, sampler(0));
    here.recordBreak(content, sampler(1));
    const old = here.listReports();
    await clock.advance(500);
    here.recordCompletion(content);
    const agedBy = (ms: number) =>
        old.map(report => ({
            ...report,
            breaks: report.breaks.map(each => ({ ...each, ageMs: each.ageMs + ms })),
        }));
    here.merge(agedBy(500), "late");
    here.merge(agedBy(700), "late");
    expect([here.mayRetry(content), here.countBreaks(content), here.digest()]).toEqual([true, 0, ""]);
    expect(here.listReports()).toMatchObject([{ content, completedAgeMs: 0 }]);
});

test("processes that count concurrently do not reset each other's count", async () => {
    const clock = createFakeClock();
    const here = createBreakRegistry(clock);
    const there = createBreakRegistry(clock);
    here.recordBreak(content, sampler(0));
    here.recordBreak(content, sampler(1));
    await clock.advance(10);
    there.recordBreak(content, sampler(2));
    exchangeAll(there, here);
    expect([here.mayRetry(content), here.countBreaks(content), there.countBreaks(content)]).toEqual([
        false,
        3,
        3,
    ]);
});

test("a crash that several processes saw counts once, whoever tells of it and how often", async () => {
    // Guards against counts that double on their way through several processes.
    const clock = createFakeClock();
    const registries = [1, 2, 3, 4].map(() => createBreakRegistry(clock));
    registries.forEach(each => each.recordBreak(content, sampler(0)));
    registries[3]!.recordBreak(content, sampler(1));
    for (let round = 0; round < 3; round++) {
        await clock.advance(300);
        registries.forEach((each, at) => exchangeAll(each, registries[(at + 1) % registries.length]!));
    }
    expect(registries.map(each => each.countBreaks(content))).toEqual([2, 2, 2, 2]);
    expect(new Set(registries.map(each => each.digest())).size).toBe(1);
});

test("any order of reports leads to the same breaks", () => {
    // Guards against evidence that depends on which report arrives last.
    const event = fc.record({
        at: fc.nat(2),
        sampler: fc.nat(5),
        isCompletion: fc.boolean(),
        to: fc.nat(2),
    });
    fc.assert(fc.property(fc.array(event, { maxLength: 25 }), events => {
        const clock = createFakeClock();
        const registries = [0, 1, 2].map(() => createBreakRegistry(clock));
        for (const { at, sampler: number, isCompletion, to } of events) {
            void clock.advance(20);
            const registry = registries[at]!;
            if (isCompletion) {
                registry.recordCompletion(content);
            }
            else {
                registry.recordBreak(content, sampler(number));
            }
            registries[to]!.merge(registry.listReports(), "any");
        }
        registries.forEach(from => registries.forEach(to => to.merge(from.listReports(), "all")));
        registries.forEach(from => registries.forEach(to => to.merge(from.listReports(), "all")));
        const digests = new Set(registries.map(each => each.digest()));
        expect(digests.size).toBe(1);
    }));
});

test("what a process was told outlives the process that saw it", async () => {
    // Guards against evidence that ends with the process that reported it.
    const clock = createFakeClock();
    const [seer, runner, gateway, laterRunner, laterGateway] = Array.from(
        { length: 5 },
        () => createBreakRegistry(clock),
    );
    [0, 1, 2].forEach(at => seer!.recordBreak(content, sampler(at)));
    await clock.advance(1_000);
    seer!.recordBreak(content, sampler(3));
    exchangeAll(seer!, runner!);
    exchangeAll(runner!, gateway!);
    await clock.advance(5_000);
    exchangeAll(gateway!, laterRunner!);
    exchangeAll(laterRunner!, laterGateway!);
    expect([laterGateway!.countBreaks(content), laterGateway!.pauseMs(content)]).toEqual([4, 5_000]);
});

test("an attempt at a sampler that had ended under another content says nothing, unless it answered meanwhile", async () => {
    // Guards against harmless contents that stay refused because their trials meet samplers that are gone.
    const clock = createFakeClock();
    const registry = createBreakRegistry(clock);
    registry.recordBreak("killer" as ContentDigest, sampler(0));
    const endedAtMs = clock.monotonicMs();
    const hadEnded = (
        sentAfterMs: number,
        answeredAtMs = -Infinity,
        of = content,
        at = sampler(0),
    ): boolean => registry.hadEnded(of, at, endedAtMs + sentAfterMs, answeredAtMs);
    await clock.advance(1_000);
    expect({
        after: hadEnded(500),
        meanwhile: hadEnded(20),
        muchLater: hadEnded(6_000),
        answered: hadEnded(500, endedAtMs + 100),
        itself: hadEnded(500, -Infinity, "killer" as ContentDigest),
        elsewhere: hadEnded(500, -Infinity, content, sampler(1)),
    }).toEqual({
        after: true,
        meanwhile: false,
        muchLater: false,
        answered: false,
        itself: false,
        elsewhere: false,
    });
});

test("processes that know the same send no reports, and while nothing is known nothing is added", () => {
    const clock = createFakeClock();
    const [here, there] = [createBreakRegistry(clock), createBreakRegistry(clock)];
    const [own, other] = [createBreakExchange("here", here), createBreakExchange("there", there)];
    const exchange = () => {
        const query = own.createQuery("there");
        other.receiveQuery(query.contents);
        const answer = other.createAnswer(query.contents);
        own.receiveAnswer("there", answer.contents);
        return [query, answer].map(({ contents }) => contents?.reports.length);
    };
    expect([own.createQuery("there"), other.createAnswer(undefined)]).toEqual([{}, {}]);
    here.recordBreak(content, sampler(0));
    expect([exchange(), exchange(), exchange()]).toEqual([[1, 0], [0, 0], [0, 0]]);
    there.recordBreak(content, sampler(1));
    expect([exchange(), exchange()]).toEqual([[0, 1], [0, 0]]);
});

test("the registry is bounded, retains the contents that may crash samplers, and its records expire", async () => {
    const clock = createFakeClock();
    const memory = createBreakRegistry(clock);
    memory.recordBreak(content, sampler(0));
    memory.recordBreak(content, sampler(1));
    for (let at = 0; at < 1_030; at++) {
        memory.recordBreak(`other ${at}` as ContentDigest, sampler(0));
    }
    const listed = new Set<string>();
    for (let message = 0; message < 100; message++) {
        const reports = memory.listReports();
        expect(reports.length).toBe(32);
        reports.forEach(report => listed.add(report.content));
    }
    expect([memory.mayRetry(content), listed.size]).toEqual([false, 1_024]);
    for (let at = 0; at < 40; at++) {
        memory.recordBreak(content, sampler(at));
    }
    expect(memory.reportOf(content)!.breaks.length).toBe(16);
    await clock.advance(3_600_000);
    expect([memory.mayRetry(content), memory.listReports(), memory.digest()]).toEqual([true, [], ""]);
});
