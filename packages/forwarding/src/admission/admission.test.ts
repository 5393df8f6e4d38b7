import type { TeamId } from "@auburnarch/types/TeamId";
import { expect, test } from "vitest";
import type { ForwardingOutcome } from "../ForwardingOutcome.js";
import type { RoutedRequest } from "../RoutedRequest.js";
import { createTestRoute } from "../testing/createTestRoute.js";
import type { CallerRecord } from "./testing/CallerRecord.js";
import { createLoadFixture } from "./testing/createLoadFixture.js";
import { playCallers } from "./testing/playCallers.js";

type Fixture = ReturnType<typeof createLoadFixture>;

/** About 166 requests per second. */
const samplers: [number, number][] = [[2, 30], [2, 40], [2, 60], [2, 120]];
const teams = [
    { team: "large", requestsPerS: 180, priority: 3 },
    { team: "medium", requestsPerS: 24, priority: 3 },
    { team: "small", requestsPerS: 5, priority: 3 },
    { team: "urgent", requestsPerS: 12, priority: 0 },
    { team: "low", requestsPerS: 12, priority: 9 },
];
const targetMs = 150;
const maxWaitMs = targetMs / 4;
const triesMs = 3 * 2;

const shareOf = (records: CallerRecord[], holds: (record: CallerRecord) => boolean): number =>
    records.filter(holds).length / Math.max(1, records.length);
const isServed = ({ servedAfterMs }: CallerRecord): boolean => servedAfterMs !== undefined;
const isInTarget = ({ servedAfterMs }: CallerRecord): boolean =>
    servedAfterMs !== undefined && servedAfterMs <= targetMs;
const ofTeam = (records: CallerRecord[], team: string): CallerRecord[] =>
    records.filter(record => record.team === team);
const loggedOf = ({ lines }: Fixture, event: string) => lines.filter(line => line.event === event);

async function play(hasAdmission: boolean, seed: number, loadRatio = 1) {
    const fixture = createLoadFixture({ samplers, hasAdmission, seed });
    const records = playCallers({
        ...fixture,
        teams: teams.map(team => ({ ...team, requestsPerS: team.requestsPerS * loadRatio })),
        durationMs: 6_000,
    });
    await fixture.clock.advance(9_000);
    return { fixture, records };
}

const createRequest = (requestId: string, over: Partial<RoutedRequest> = {}): RoutedRequest => ({
    requestId,
    team: "a" as TeamId,
    route: createTestRoute("idempotent", { targetLatencyMs: targetMs, timeoutMs: 2_000 }),
    method: "POST",
    host: "a",
    path: "/",
    headers: {},
    body: Buffer.from(requestId),
    deadlineMs: 2_000,
    ...over,
});

/** Sends a request at one gateway; the result is filled in once it is known. */
function send({ forwarders, clock }: Fixture, request: RoutedRequest) {
    const caller = new AbortController();
    const settled: { outcome?: ForwardingOutcome; atMs?: number; } = {};
    void forwarders[0]!(request, caller.signal).then(outcome => {
        Object.assign(settled, { outcome, atMs: clock.monotonicMs() });
    });
    return { caller, settled };
}

const nameOf = ({ outcome }: { outcome?: ForwardingOutcome; }): string =>
    outcome === undefined ? "open" : outcome.kind === "answered" ? "answered" : outcome.code.name;

/** Has samplers reject until the limit of the gateway is in force, and waits until all requests have ended. */
async function pressUntilLimited(fixture: Fixture): Promise<void> {
    for (let at = 0; at < 300; at++) {
        send(fixture, createRequest(`press-${at}`, { team: "press" as TeamId, deadlineMs: 100 }));
        await fixture.clock.advance(2);
    }
    await fixture.clock.advance(300);
}

test.each([1, 2, 3])(
    "under overload, small and urgent teams are served, and none starves; seed %d",
    async seed => {
        // Guards against a large team whose requests and returns displace all others.
        const without = await play(false, seed);
        const { records } = await play(true, seed);
        const served = (team: string): number => shareOf(ofTeam(records, team), isServed);
        const inTarget = (team: string): number => shareOf(ofTeam(records, team), isInTarget);
        const inTargetWithout = (team: string): number => shareOf(ofTeam(without.records, team), isInTarget);
        expect(shareOf(without.records, isServed)).toBeLessThan(0.9);
        expect(["medium", "small", "urgent"].filter(team => served(team) < 0.99)).toEqual([]);
        expect(["large", "low"].filter(team => served(team) < 0.5)).toEqual([]);
        for (const team of ["small", "urgent"]) {
            expect(inTarget(team)).toBeGreaterThan(2 * inTargetWithout(team));
        }
        const capacityRatio = shareOf(records, isServed) / shareOf(without.records, isServed);
        expect(capacityRatio).toBeGreaterThan(0.95);
    },
);

test("a small team is served beside one that presses, also where a slot is held for longer than a request may wait", async () => {
    // Guards against a shortage in which nobody may wait, so that slots go to the team that arrives most often.
    const records = (await Promise.all([1, 2, 3].map(async seed => {
        const fixture = createLoadFixture({ samplers: [[2, 150]], gateways: 1, hasAdmission: true, seed });
        const pressing = [{ team: "large", requestsPerS: 17 }, { team: "small", requestsPerS: 2 }];
        const played = playCallers({ ...fixture, teams: pressing, targetMs: 200, durationMs: 20_000 });
        await fixture.clock.advance(23_000);
        return played;
    }))).flat();
    expect(shareOf(ofTeam(records, "small"), isServed)).toBeGreaterThanOrEqual(0.99);
});

test("the team of the highest priority is answered in time more often than any other of that size", async () => {
    // Guards against a priority without effect. One run has 70 requests of this team, too few to compare by seed.
    const records = (await Promise.all([1, 2, 3].map(seed => play(true, seed)))).flatMap(played =>
        played.records
    );
    const inTarget = (team: string): number => shareOf(ofTeam(records, team), isInTarget);
    expect(["large", "medium", "low"].filter(team => inTarget(team) >= inTarget("urgent"))).toEqual([]);
    expect(inTarget("urgent")).toBeGreaterThan(2 * inTarget("low"));
});

test.each([1, 2, 3])(
    "what cannot be served in time is refused at once and has not run; seed %d",
    async seed => {
        const { fixture, records } = await play(true, seed);
        const refusedIds = records.flatMap(record => record.refusedIds);
        const refusedAfterMs = records.flatMap(record => record.refusedAfterMs).sort((a, b) => a - b);
        expect(refusedIds.length).toBeGreaterThan(1_000);
        expect(refusedIds.filter(id => fixture.runsOf(id) > 0)).toEqual([]);
        expect(refusedAfterMs[Math.floor(refusedAfterMs.length / 2)]).toBe(0);
        expect(refusedAfterMs.at(-1)).toBeLessThanOrEqual(maxWaitMs + triesMs + 0.001);
    },
);

test("without a shortage nothing waits, and callers get the same as without admission", async () => {
    // Guards against an admission that costs latency or capacity while there is enough.
    const { fixture, records } = await play(true, 4, 0.1);
    expect(loggedOf(fixture, "requestQueued")).toEqual([]);
    expect(loggedOf(fixture, "requestRefusedForLoad")).toEqual([]);
    expect(shareOf(records, isInTarget)).toBe(1);
    const [without, within] = [await play(false, 4, 0.3), await play(true, 4, 0.3)];
    expect(shareOf(within.records, isServed)).toBe(1);
    expect(shareOf(within.records, isInTarget)).toBeGreaterThan(shareOf(without.records, isInTarget) - 0.01);
});

test("callers that are refused together return at different times, within a third of the time they have left", async () => {
    // Guards against refused callers that return at the same moment and are refused again.
    const mostAtOnce = async (hasAdmission: boolean): Promise<number> => {
        const fixture = createLoadFixture({ samplers, hasAdmission, gateways: 1 });
        await pressUntilLimited(fixture);
        const sent = Array.from({ length: 80 }, (_, at) => send(fixture, createRequest(`burst-${at}`)));
        await fixture.clock.advance(60);
        const delays = sent.flatMap(({ settled }) =>
            settled.outcome?.kind === "failed" ? settled.outcome.retryAfterMs ?? [] : []
        );
        expect(delays.length).toBeGreaterThan(40);
        expect(Math.max(...delays)).toBeLessThanOrEqual(2_000 / 3);
        const buckets = new Map<number, number>();
        delays.forEach(delayMs => {
            const bucket = Math.floor(delayMs / 20);
            buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1);
        });
        return Math.max(...buckets.values()) / delays.length;
    };
    expect(await mostAtOnce(false)).toBe(1);
    expect(await mostAtOnce(true)).toBeLessThan(0.2);
});

test("requests are refused at once while no sampler is registered, and served once samplers return", async () => {
    const fixture = createLoadFixture({ samplers, hasAdmission: true });
    const registered = fixture.samplers.splice(0);
    const refused = send(fixture, createRequest("q1"));
    await fixture.clock.advance(1);
    expect([nameOf(refused.settled), refused.settled.atMs]).toEqual(["noSampler", 0]);
    fixture.samplers.push(...registered);
    const served = send(fixture, createRequest("q2"));
    await fixture.clock.advance(1_000);
    expect(nameOf(served.settled)).toBe("answered");
});

test("when all samplers vanish under load, nothing is reported as not run that ran, and slots are freed", async () => {
    // Guards against slots that are never released, so that nothing is admitted after the samplers return.
    const fixture = createLoadFixture({ samplers, hasAdmission: true });
    const records = playCallers({ ...fixture, teams, durationMs: 6_000 });
    await fixture.clock.advance(2_000);
    const models = new Map(fixture.models);
    fixture.models.clear();
    await fixture.clock.advance(1_000);
    models.forEach((model, name) => fixture.models.set(name, model));
    await fixture.clock.advance(6_000);
    const refusedIds = records.flatMap(record => record.refusedIds);
    expect(refusedIds.filter(id => fixture.runsOf(id) > 0)).toEqual([]);
    const lateSmall = ofTeam(records, "small").slice(-8);
    expect(shareOf(lateSmall, isServed)).toBe(1);
    expect(await fixture.metrics.render()).toMatch(/auburnarch_admission_in_flight\{service="tiles"\} 0\n/u);
    expect(await fixture.metrics.render()).toMatch(/auburnarch_admission_waiting\{service="tiles"\} 0\n/u);
});

test("when all samplers fall silent, callers are refused at once, and served again once samplers answer", async () => {
    // Guards against a queue that fills behind samplers that hang, and against a limit that stays low afterwards.
    const fixture = createLoadFixture({ samplers, hasAdmission: true });
    const records = playCallers({ ...fixture, teams, durationMs: 12_000 });
    await fixture.clock.advance(2_000);
    fixture.models.forEach((model, name) => fixture.models.set(name, { ...model, serviceMs: 1_000_000 }));
    await fixture.clock.advance(1_000);
    samplers.forEach(([slots, serviceMs], index) => fixture.models.set(`s${index}`, { slots, serviceMs }));
    await fixture.clock.advance(14_000);
    const late = loggedOf(fixture, "requestRefusedForLoad").filter(({ fields }) =>
        fields["reason"] === "waited"
    );
    const refused = loggedOf(fixture, "requestRefusedForLoad");
    expect(refused.length).toBeGreaterThan(1_000);
    expect(late.length / refused.length).toBeLessThan(0.1);
    const refusedIds = records.flatMap(record => record.refusedIds);
    expect(refusedIds.filter(id => fixture.runsOf(id) > 0)).toEqual([]);
    expect(shareOf(ofTeam(records, "small").slice(-20), isServed)).toBe(1);
    expect(shareOf(ofTeam(records, "urgent").slice(-40), isServed)).toBe(1);
});

test("one sampler that turns slow does not keep the others from being used", async () => {
    const fixture = createLoadFixture({ samplers, hasAdmission: true });
    const records = playCallers({
        ...fixture,
        teams: teams.map(team => ({ ...team, requestsPerS: team.requestsPerS * 0.4 })),
        durationMs: 8_000,
    });
    await fixture.clock.advance(2_000);
    fixture.models.get("s0")!.serviceMs = 1_500;
    await fixture.clock.advance(9_000);
    expect(shareOf(records, isServed)).toBeGreaterThan(0.99);
    for (const { team } of teams) {
        expect(shareOf(ofTeam(records, team), isServed)).toBeGreaterThan(0.98);
    }
});

test("samplers that all turn slow for good are still used at their capacity", async () => {
    // Guards against a limit that falls with latency although fewer requests do not make such samplers faster.
    const served: number[] = [];
    for (const hasAdmission of [false, true]) {
        const fixture = createLoadFixture({ samplers: [[6, 40], [6, 40], [6, 40]], hasAdmission });
        fixture.models.forEach(model => {
            model.serviceMs = 40;
        });
        const records = playCallers({
            ...fixture,
            teams: [{ team: "a", requestsPerS: 12 }, { team: "b", requestsPerS: 12 }],
            durationMs: 20_000,
        });
        await fixture.clock.advance(3_000);
        fixture.models.forEach(model => {
            model.serviceMs = 400;
        });
        await fixture.clock.advance(20_000);
        served.push(shareOf(records, isServed));
    }
    expect(served[1]).toBeGreaterThan(served[0]! - 0.02);
});

test("closing refuses all that wait as not run, and what runs is answered", async () => {
    // Guards against a shutdown that cuts off waiting callers without an answer.
    const fixture = createLoadFixture({ samplers, hasAdmission: true, gateways: 1 });
    await pressUntilLimited(fixture);
    const sent = Array.from({ length: 30 }, (_, at) => ({
        id: `q${at}`,
        ...send(fixture, createRequest(`q${at}`)),
    }));
    await fixture.clock.advance(5);
    const waiting = Number(/admission_waiting\{.*\} (\d+)/u.exec(await fixture.metrics.render())![1]);
    fixture.admissions[0]!.close();
    await fixture.clock.advance(0);
    const closed = sent.filter(({ settled }) => nameOf(settled) === "shuttingDown");
    expect(closed.length).toBe(waiting);
    expect(waiting).toBeGreaterThan(0);
    const late = send(fixture, createRequest("late"));
    await fixture.clock.advance(2_000);
    expect(nameOf(late.settled)).toBe("shuttingDown");
    expect(closed.filter(({ id }) => fixture.runsOf(id) > 0)).toEqual([]);
    const ran = sent.filter(({ id }) => fixture.runsOf(id) > 0);
    expect(ran.length).toBeGreaterThan(0);
    expect(ran.filter(({ settled }) => nameOf(settled) !== "answered")).toEqual([]);
});

test("a caller that leaves while it waits is not run and leaves its place to the next", async () => {
    const fixture = createLoadFixture({ samplers, hasAdmission: true, gateways: 1 });
    await pressUntilLimited(fixture);
    const sent = Array.from({ length: 30 }, (_, at) => ({
        id: `q${at}`,
        ...send(fixture, createRequest(`q${at}`)),
    }));
    await fixture.clock.advance(10);
    const isWaiting = ({ id, settled }: (typeof sent)[number]): boolean =>
        settled.outcome === undefined && fixture.runsOf(id) === 0;
    const [leaving, next] = sent.filter(isWaiting);
    leaving!.caller.abort();
    await fixture.clock.advance(0);
    expect([nameOf(leaving!.settled), leaving!.settled.atMs]).toEqual([
        "cancelled",
        fixture.clock.monotonicMs(),
    ]);
    await fixture.clock.advance(2_000);
    expect([nameOf(leaving!.settled), fixture.runsOf(leaving!.id)]).toEqual(["cancelled", 0]);
    expect(nameOf(next!.settled)).toBe("answered");
    expect(await fixture.metrics.render()).toMatch(/auburnarch_admission_waiting\{service="tiles"\} 0\n/u);
});

test("after an idle time, neither the limit nor the rejections of an earlier shortage count", async () => {
    // Guards against a first burst after a quiet time of which most is refused although all samplers are free.
    const fixture = createLoadFixture({ samplers: [[100, 30]], hasAdmission: true, gateways: 1 });
    fixture.models.get("s0")!.slots = 2;
    await pressUntilLimited(fixture);
    fixture.models.get("s0")!.slots = 100;
    await fixture.clock.advance(60_000);
    const sent = Array.from({ length: 40 }, (_, at) => send(fixture, createRequest(`free-${at}`)));
    await fixture.clock.advance(2_000);
    expect(sent.map(({ settled }) => nameOf(settled))).toEqual(sent.map(() => "answered"));
});

test("a request that waits is refused before its caller's time has passed", async () => {
    // Guards against callers of a route with a long target latency that get no answer before their own deadline.
    const fixture = createLoadFixture({ samplers, hasAdmission: true, gateways: 1 });
    await pressUntilLimited(fixture);
    fixture.models.forEach(model => model.serviceMs = 5_000);
    const route = createTestRoute("idempotent", { targetLatencyMs: 8_000, timeoutMs: 10_000 });
    const sentAtMs = fixture.clock.monotonicMs();
    const sent = Array.from({ length: 30 }, (_, at) => ({
        id: `q${at}`,
        ...send(fixture, createRequest(`q${at}`, { route, deadlineMs: 300 })),
    }));
    await fixture.clock.advance(10);
    const waiting = sent.filter(({ id, settled }) =>
        settled.outcome === undefined && fixture.runsOf(id) === 0
    );
    expect(waiting.length).toBeGreaterThan(0);
    await fixture.clock.advance(3_000);
    for (const { id, settled } of waiting.filter(each => fixture.runsOf(each.id) === 0)) {
        expect([id, nameOf(settled)]).toEqual([id, "waitTooLong"]);
        expect(settled.atMs! - sentAtMs).toBeLessThan(300);
    }
});

test("an answer whose body is never read keeps its slot only until the request's time limit", async () => {
    // Guards against slots that are lost with callers that disconnect before their answer is written.
    const fixture = createLoadFixture({ samplers, hasAdmission: true, gateways: 1 });
    const route = createTestRoute("nonIdempotent", { targetLatencyMs: targetMs, timeoutMs: 500 });
    const unread = send(fixture, createRequest("unread", { route }));
    const left = send(fixture, createRequest("left", { route }));
    await fixture.clock.advance(200);
    left.caller.abort();
    const inFlight = async (): Promise<string | undefined> =>
        /admission_in_flight\{service="tiles"\} (\d+)/u.exec(await fixture.metrics.render())?.[1];
    expect([nameOf(unread.settled), nameOf(left.settled), await inFlight()]).toEqual([
        "answered",
        "answered",
        "1",
    ]);
    await fixture.clock.advance(400);
    expect(await inFlight()).toBe("0");
});

test("a caller that returns after a refusal goes ahead of new requests of its team", async () => {
    // Guards against callers that are refused at each return while newer requests are served.
    const fixture = createLoadFixture({ samplers: [[1, 30], [1, 30]], hasAdmission: true, gateways: 1 });
    await pressUntilLimited(fixture);
    // From here on only the limit decides, since the samplers reject nothing.
    fixture.models.forEach(model => (model.slots = 10));
    const returning = { body: Buffer.from("returning") };
    const wide = createTestRoute("idempotent", { targetLatencyMs: 2_000, timeoutMs: 4_000 });
    const occupying = (id: string) => send(fixture, createRequest(id, { route: wide, deadlineMs: 4_000 }));
    ["o1", "o2", "o3", "o4"].forEach(occupying);
    const refused = send(fixture, createRequest("r1", { ...returning, deadlineMs: 10 }));
    await fixture.clock.advance(1);
    expect(nameOf(refused.settled)).toBe("waitTooLong");
    const fresh = ["f1", "f2", "f3"].map(occupying);
    const again = send(fixture, createRequest("r2", { ...returning, route: wide, deadlineMs: 4_000 }));
    await fixture.clock.advance(2_000);
    const endOf = ({ settled }: typeof again): number => settled.atMs!;
    const served = fresh.filter(({ settled }) => nameOf(settled) === "answered");
    expect([nameOf(again.settled), served.length > 0]).toEqual(["answered", true]);
    expect(served.filter(request => endOf(request) < endOf(again))).toEqual([]);
});

test("while samplers are full, hedges and retries that may run twice are a fifth of the first sends", async () => {
    // Guards against repeats of late requests that take the capacity of first sends.
    const runsPerRequest = async (hasAdmission: boolean): Promise<number> => {
        const fixture = createLoadFixture({
            samplers: [[2, 200], [2, 200], [2, 200], [2, 200]],
            hasAdmission,
            gateways: 1,
        });
        const records = playCallers({
            ...fixture,
            teams: [{ team: "a", requestsPerS: 30 }],
            durationMs: 6_000,
        });
        await fixture.clock.advance(9_000);
        const runs = records.flatMap(record => record.requestIds).map(fixture.runsOf).filter(count =>
            count > 0
        );
        return runs.reduce((sum, count) => sum + count, 0) / runs.length;
    };
    expect(await runsPerRequest(false)).toBeGreaterThan(1.25);
    expect(await runsPerRequest(true)).toBeLessThan(1.22);
});

test("no timer is left once all requests have ended", async () => {
    const fixture = createLoadFixture({ samplers, hasAdmission: true, gateways: 1 });
    await pressUntilLimited(fixture);
    await fixture.clock.advance(20_000);
    expect(fixture.clock.pendingTimers()).toBe(0);
});
