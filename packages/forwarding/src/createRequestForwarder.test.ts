import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Route } from "@auburnarch/routing/Route";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { expect, test } from "vitest";
import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import type { SamplerReply } from "./SamplerReply.js";
import { createTestForwarder } from "./testing/createTestForwarder.js";
import { createTestRoute } from "./testing/createTestRoute.js";

async function* bytes(text: string, isCut = false): AsyncGenerator<Uint8Array> {
    yield Buffer.from(text);
    if (isCut) {
        throw new Error("cut short");
    }
}

const answered = (status: number, text = "body", isCut = false): SamplerReply => ({
    kind: "answered",
    status,
    headers: {},
    body: bytes(text, isCut),
    signature: "proof",
    weightVersion: undefined,
});
const notRun: SamplerReply = { kind: "notRun", code: resultCodes.overloaded, detail: "full" };
const unknown: SamplerReply = { kind: "unknown", code: resultCodes.connectionBroken, detail: "reset" };

/** Scripted replies of each sampler, with their delays; `never` ends only when it is cancelled. */
type Script = Record<string, { afterMs: number; reply: SamplerReply | "never"; }[]>;

function createFixture(script: Script, samplers = Object.keys(script).map(name => createTestSampler(name))) {
    const clock = createFakeClock();
    const sent: string[] = [];
    const cancelled: string[] = [];
    const forwarder = createTestForwarder({
        callSampler: async (request, signal) => {
            const name = request.sampler.incarnation;
            sent.push(`${name}@${Math.round(clock.monotonicMs())} ${Math.round(request.budgetMs)}`);
            const step = script[name]!.shift() ?? { afterMs: 10, reply: answered(200) };
            await clock.sleep(step.reply === "never" ? 60_000 : step.afterMs, signal);
            if (signal.aborted) {
                cancelled.push(`${name}@${Math.round(clock.monotonicMs())}`);
                return unknown;
            }
            return step.reply as SamplerReply;
        },
        clock,
        samplers,
    });
    const ask = (kind: Route["kind"], over: Partial<Route> = {}, deadlineMs = 2_000) => {
        const route = createTestRoute(kind, over);
        const caller = new AbortController();
        const request = {
            requestId: "q",
            team: undefined,
            route,
            method: "POST",
            host: "a",
            path: "/",
            headers: {},
            body: Buffer.from(""),
            deadlineMs,
        };
        const outcome = forwarder(request, caller.signal);
        const settled: { outcome?: ForwardingOutcome; atMs?: number; } = {};
        void outcome.then(value =>
            Object.assign(settled, { outcome: value, atMs: Math.round(clock.monotonicMs()) })
        );
        return { caller, settled };
    };
    return { clock, sent, cancelled, ask };
}

const describeOutcome = ({ outcome, atMs }: { outcome?: ForwardingOutcome; atMs?: number; }): string =>
    outcome === undefined
        ? "open"
        : `${outcome.kind === "answered" ? outcome.status : outcome.code.name} @${atMs}`;

test("an idempotent request is retried elsewhere after a truncated answer, a reset, a refusal and a failure", async () => {
    // Guards against clients that get truncated or failed answers while other samplers are healthy.
    const replies = [answered(200, "half", true), unknown, notRun, answered(500)];
    const shown = [];
    for (const reply of replies) {
        const { clock, ask } = createFixture({
            a: [{ afterMs: 10, reply }],
            b: [{ afterMs: 10, reply: answered(200) }],
        });
        const { settled } = ask("idempotent");
        await clock.advance(1_000);
        shown.push(describeOutcome(settled));
    }
    expect(shown).toEqual(["200 @20", "200 @20", "200 @20", "200 @20"]);
});

test("a late attempt is hedged, and the slower attempt is cancelled after a grace period", async () => {
    const { clock, sent, cancelled, ask } = createFixture({ a: [{ afterMs: 0, reply: "never" }], b: [] });
    const { settled } = ask("idempotent");
    await clock.advance(2_000);
    expect(describeOutcome(settled)).toBe("200 @100");
    expect(sent).toEqual(["a@0 1500", "b@90 1410"]);
    expect(cancelled).toEqual(["a@350"]);
});

test("a non-idempotent request is retried only if it has certainly not run", async () => {
    // Guards against a request, such as sending an alert, that runs twice.
    const refused = createFixture({ a: [{ afterMs: 5, reply: notRun }], b: [] });
    const broken = createFixture({ a: [{ afterMs: 5, reply: unknown }], b: [] });
    const first = refused.ask("nonIdempotent");
    const second = broken.ask("nonIdempotent");
    await refused.clock.advance(1_000);
    await broken.clock.advance(1_000);
    expect([describeOutcome(first.settled), refused.sent.length]).toEqual(["200 @15", 2]);
    expect([describeOutcome(second.settled), broken.sent.length]).toEqual(["connectionBroken @5", 1]);
});

test("a request is refused as not run only if no attempt may have run", async () => {
    const full = createFixture({ a: [{ afterMs: 5, reply: notRun }], b: [{ afterMs: 5, reply: notRun }] });
    const mixed = createFixture({ a: [{ afterMs: 5, reply: unknown }], b: [{ afterMs: 5, reply: notRun }] });
    const none = createFixture({});
    const asked = [full, mixed, none].map(fixture => ({ fixture, ...fixture.ask("idempotent") }));
    for (const { fixture } of asked) {
        await fixture.clock.advance(1_000);
    }
    expect(asked.map(({ settled }) => describeOutcome(settled))).toEqual([
        "noSampler @10",
        "connectionBroken @10",
        "noSampler @0",
    ]);
});

test("the route's time limit ends a request immediately and cancels its attempts in flight", async () => {
    const never = { afterMs: 0, reply: "never" as const };
    const { clock, cancelled, ask } = createFixture({ a: [never], b: [never], c: [never] });
    const { settled } = ask("idempotent", { timeoutMs: 400 });
    await clock.advance(2_000);
    expect(describeOutcome(settled)).toBe("deadlineWhileRunning @400");
    expect(cancelled.every(entry => entry.endsWith("@400"))).toBe(true);
});

test("a request is cancelled at its sampler when the caller disconnects", async () => {
    const { clock, cancelled, ask } = createFixture({ a: [{ afterMs: 0, reply: "never" }] });
    const { caller, settled } = ask("nonIdempotent");
    await clock.advance(50);
    caller.abort();
    await clock.advance(10);
    expect([describeOutcome(settled), cancelled]).toEqual(["cancelled @50", ["a@50"]]);
});

test("at most as many samplers are tried as the route allows", async () => {
    const bad = () => [{ afterMs: 5, reply: unknown }];
    const { clock, sent, ask } = createFixture({ a: bad(), b: bad(), c: bad(), d: bad() });
    const { settled } = ask("idempotent", { maxAttempts: 2 });
    await clock.advance(1_000);
    expect([sent.length, describeOutcome(settled)]).toEqual([2, "connectionBroken @10"]);
});

test("a sampler in the forwarder's own failure domain is preferred over an equally fast one elsewhere", async () => {
    const samplers = [
        createTestSampler("far", { failureDomain: "burgos" as FailureDomain }),
        createTestSampler("near"),
    ];
    const { clock, sent, ask } = createFixture({ near: [], far: [] }, samplers);
    ask("idempotent");
    await clock.advance(100);
    expect(sent[0]).toMatch(/^near/u);
});

test("a call that rejects is an attempt with unknown outcome", async () => {
    // Guards against an unhandled rejection, which ends the process, and a request that is never answered.
    const clock = createFakeClock();
    const forwarder = createTestForwarder({
        clock,
        samplers: [createTestSampler("a")],
        callSampler: async () => {
            throw new Error("port out of range");
        },
    });
    const request = {
        requestId: "q",
        team: undefined,
        route: createTestRoute("nonIdempotent"),
        method: "POST",
        host: "a",
        path: "/",
        headers: {},
        body: Buffer.from(""),
        deadlineMs: 1_000,
    };
    const outcome = await forwarder(request, new AbortController().signal);
    expect(outcome).toMatchObject({ kind: "failed", code: resultCodes.connectionBroken });
});

test.each([resultCodes.answerTooLong, resultCodes.answerMixed])(
    "a content is not suspected of crashing samplers that send bytes in place of an answer ($name)",
    async code => {
        // Guards against requests that are refused for minutes because of what samplers sent in their place.
        const spoiled: SamplerReply = { kind: "unknown", code, detail: "no answer" };
        const script = Object.fromEntries(
            ["a", "b", "c", "d"].map(name => [name, [{ afterMs: 10, reply: spoiled }]]),
        );
        const { ask, clock } = createFixture(script);
        const first = ask("idempotent", { maxAttempts: 4 });
        await clock.advance(500);
        const second = ask("idempotent", { maxAttempts: 4 });
        await clock.advance(500);
        expect([first, second].map(({ settled }) => settled.outcome?.kind)).toEqual(["failed", "answered"]);
    },
);
