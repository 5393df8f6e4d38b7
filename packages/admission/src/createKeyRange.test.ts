import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import fc from "fast-check";
import { v7 } from "uuid";
import { expect, test } from "vitest";
import { createAnswerCacheBudget } from "./createAnswerCacheBudget.js";
import { createKeyRange } from "./createKeyRange.js";
import { defaultKeyRangeGuards } from "./defaultKeyRangeGuards.js";
import type { KeyRangeDeps } from "./KeyRangeDeps.js";
import type { KeyRangeGuards } from "./KeyRangeGuards.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const never = new AbortController().signal;
const team = "lugo" as TeamId;
const digest = "d" as ContentDigest;
const windowMs = 600_000;
const skewMs = 2_000;

/** A service that records what ran, and successive owners of the range. */
function createFixture() {
    const clock = createFakeClock();
    const service = createFakePlainService({ clock, latencyMs: 50 });
    const invariants = createInvariants(silent, () => {});
    let attempts = 0;
    const createOwner = (change: Partial<KeyRangeDeps> = {}) =>
        createKeyRange({
            range: 0,
            lease: { isHeld: () => true },
            takenOverAtMs: undefined,
            clock,
            logger: silent,
            invariants,
            answerBudget: createAnswerCacheBudget(),
            ...change,
        });
    const executeOf = (key: string) => (): Promise<AttemptOutcome<PlainAnswer>> => {
        const request: PlainRequest = {
            attempt: `a${attempts++}` as AttemptId,
            service: "tiles" as ServiceId,
            team,
            method: "POST",
            path: "/tile",
            headers: { "idempotency-key": key },
            body: Buffer.from(key),
            idempotent: false,
            digest,
            budgetMs: 1_000,
        };
        return service.backend(request, never);
    };
    const send = async (
        owner: ReturnType<typeof createOwner>,
        key: string,
        content = digest,
    ): Promise<string> => {
        let described = "";
        void owner.run({ team, key, digest: content }, executeOf(key)).then(describe).then(
            text => (described = text),
        );
        await clock.runUntil(() => described !== "", 10_000);
        return described;
    };
    const mint = (offsetMs = 0): string => v7({ msecs: clock.wallMs() + offsetMs });
    return { clock, service, invariants, createOwner, executeOf, send, mint };
}

async function describe(outcome: AttemptOutcome<PlainAnswer>): Promise<string> {
    if (outcome.kind !== "ran") {
        return `${outcome.kind} ${outcome.code.name}`;
    }
    const parts: Uint8Array[] = [];
    for await (const part of outcome.answer.body) {
        parts.push(part);
    }
    return `ran ${Buffer.concat(parts).toString("utf8")}`;
}

test("a request sent again after a broken connection does not run twice", async () => {
    // Guards against a fetch that runs twice and shows a customer conflicting alerts.
    const { service, createOwner, send, mint } = createFixture();
    const owner = createOwner();
    const key = mint();
    service.control.breakAfterRun(1);
    expect(await send(owner, key)).toBe("unknown connectionBroken");
    expect(await send(owner, key)).toBe("unknown connectionBroken");
    expect(await send(owner, key.toUpperCase())).toBe("unknown connectionBroken");
    expect(service.control.runsByKey().get(key)).toBe(1);
});

test("a key created before a takeover is never run again by the new owner", async () => {
    const { clock, service, createOwner, send, mint } = createFixture();
    const key = mint();
    service.control.breakAfterRun(1);
    await send(createOwner(), key);
    await clock.advance(20_000);
    const next = createOwner({ takenOverAtMs: clock.wallMs() });
    expect(await send(next, key)).toBe("unknown keyTakenOver");
    expect(await send(next, mint(2 * skewMs))).toBe("notRun keyTooOld");
    await clock.advance(2 * skewMs + 1);
    expect(await send(next, mint())).toMatch(/^ran /);
    expect(service.control.runsByKey().get(key)).toBe(1);
});

test("concurrent duplicates join one run and get the same complete answer", async () => {
    const { clock, service, createOwner, executeOf, mint } = createFixture();
    const owner = createOwner();
    const key = mint();
    const runs = [1, 2, 3].map(() => owner.run({ team, key, digest }, executeOf(key)).then(describe));
    await clock.advance(1_000);
    const outcomes = new Set(await Promise.all(runs));
    expect([...outcomes].length).toBe(1);
    expect([...outcomes][0]).toMatch(/^ran /);
    expect(service.control.runsByKey().get(key)).toBe(1);
});

test("a request that certainly did not run may run when it is sent again", async () => {
    const { service, createOwner, send, mint } = createFixture();
    const owner = createOwner();
    const key = mint();
    service.control.refuseNext(1);
    expect(await send(owner, key)).toBe("notRun connectFailed");
    expect(await send(owner, key)).toMatch(/^ran /);
    expect(service.control.runsByKey().get(key)).toBe(1);
});

test("a key with different content is refused, and the same key of another team is a different key", async () => {
    const { service, createOwner, send, mint, executeOf } = createFixture();
    const owner = createOwner();
    const key = mint();
    const first = await send(owner, key);
    expect(await send(owner, key, "other" as ContentDigest)).toBe("notRun keyReused");
    expect(await send(owner, key)).toBe(first);
    const otherTeam = owner.run({ team: "burgos" as TeamId, key, digest }, executeOf(key));
    void otherTeam;
    expect(service.control.runsByKey().get(key)).toBe(2);
});

test("keys outside the window, keys that are not UUIDv7, and keys without a lease are refused", async () => {
    const { clock, service, createOwner, send, mint } = createFixture();
    const owner = createOwner();
    expect(await send(owner, mint(-windowMs - 1))).toBe("unknown keyTooOld");
    expect(await send(owner, mint(skewMs + 1))).toBe("notRun keyTooOld");
    expect(await send(owner, "7f0f1c1e-0000-4000-8000-000000000000")).toBe("notRun keyNotUuidV7");
    expect(await send(createOwner({ lease: { isHeld: () => false } }), mint())).toBe("notRun notOwner");
    expect(service.control.runsByKey().size).toBe(0);
    const key = mint();
    await send(owner, key);
    await clock.advance(windowMs + skewMs + 1);
    expect(await send(owner, key)).toBe("unknown keyTooOld");
    expect(owner.size()).toBe(0);
    expect(service.control.runsByKey().get(key)).toBe(1);
});

test("an owner whose lease lapsed still answers repeats and accepts no new keys", async () => {
    const { service, createOwner, send, mint } = createFixture();
    let held = true;
    const owner = createOwner({ lease: { isHeld: () => held } });
    const key = mint();
    const first = await send(owner, key);
    held = false;
    expect(await send(owner, key)).toBe(first);
    expect(await send(owner, mint())).toBe("notRun notOwner");
    expect(service.control.runsByKey().size).toBe(1);
});

test("a clock set back does not make evicted keys acceptable again", async () => {
    // Guards against a request that ran, and was billed, twice.
    const { clock, service, createOwner, send, mint } = createFixture();
    let setBackMs = 0;
    const settable: Clock = { ...clock, wallMs: () => clock.wallMs() - setBackMs };
    const owner = createOwner({ clock: settable });
    const key = mint();
    await send(owner, key);
    await clock.advance(windowMs + skewMs + 1);
    await send(owner, mint());
    setBackMs = 3_600_000;
    expect(await send(owner, key)).toBe("unknown keyTooOld");
    expect(service.control.runsByKey().get(key)).toBe(1);
});

test("memory is bounded: large answers are not cached, old answers are evicted first, keys never", async () => {
    const { clock, service, createOwner, send, mint } = createFixture();
    const small = createOwner({ maxAnswerBytes: 10 });
    const key = mint();
    expect(await send(small, key)).toMatch(/^ran \{.*\}$/);
    expect(await send(small, key)).toBe("unknown keyTakenOver");
    const answers = createAnswerCacheBudget(200);
    const owner = createOwner({ answerBudget: answers, maxKeys: 20 });
    const keys = Array.from({ length: 21 }, (_, n) => mint(n));
    const outcomes = [];
    for (const one of keys) {
        outcomes.push(await send(owner, one));
    }
    expect(outcomes[20]).toBe("notRun overloaded");
    expect(answers.bytes()).toBeLessThanOrEqual(200);
    expect(await send(owner, keys[0]!)).toBe("unknown keyTakenOver");
    expect(await send(owner, keys[19]!)).toBe(outcomes[19]);
    expect(Math.max(...service.control.runsByKey().values())).toBe(1);
    await clock.advance(windowMs + skewMs + 1);
    await send(owner, mint());
    expect(answers.bytes()).toBeLessThan(100);
});

type Event = { kind: "send" | "break" | "refuse" | "takeover" | "lapse" | "wait"; key: number; ms: number; };
const event: fc.Arbitrary<Event> = fc.record({
    kind: fc.constantFrom("send", "send", "send", "break", "refuse", "takeover", "lapse", "wait"),
    key: fc.nat(5),
    ms: fc.nat(30_000),
});

/** Replays events on successive owners with clocks within the allowed skew; returns how often each key ran. */
async function replay(events: Event[], skews: number[], guards: KeyRangeGuards) {
    const { clock, service, invariants, createOwner, executeOf, mint } = createFixture();
    const clockOf = (n: number): Clock => {
        const aheadMs = skews[n % skews.length]!;
        return { ...clock, wallMs: () => clock.wallMs() + aheadMs };
    };
    let owners = 0;
    const startOwner = (isFirst: boolean) => {
        const own = clockOf(owners++);
        const lease = { held: true, isHeld: () => lease.held };
        const takenOverAtMs = isFirst ? undefined : own.wallMs();
        return { lease, range: createOwner({ clock: own, lease, takenOverAtMs, guards }) };
    };
    let owner = startOwner(true);
    const past: (typeof owner)[] = [];
    const keys = new Map<number, string>();
    const actions: Record<Event["kind"], (event: Event) => void> = {
        send: ({ key, ms }) => {
            const text = keys.get(key) ?? mint((ms % (2 * skewMs)) - skewMs);
            keys.set(key, text);
            // Callers may reach any former owner, since entries learn of a takeover late.
            const reached = [...past, owner][ms % (past.length + 1)]!;
            void reached.range.run({ team, key: text, digest }, executeOf(text));
        },
        break: () => service.control.breakAfterRun(1),
        refuse: () => service.control.refuseNext(1),
        takeover: () => {
            owner.lease.held = false;
            past.push(owner);
            owner = startOwner(false);
        },
        lapse: () => {
            owner.lease.held = false;
        },
        wait: () => {},
    };
    for (const one of events) {
        actions[one.kind](one);
        await clock.advance(one.kind === "wait" ? one.ms : 7);
    }
    await clock.advance(1_000);
    return { runs: [...service.control.runsByKey().values()], violations: invariants.violations() };
}

const scenario = fc.tuple(
    fc.array(event, { minLength: 5, maxLength: 60 }),
    fc.array(fc.integer({ min: -skewMs / 2, max: skewMs / 2 }), { minLength: 1, maxLength: 4 }),
);

test("no key runs twice under random requests, faults, takeovers and clock differences", async () => {
    let ran = 0;
    await fc.assert(
        fc.asyncProperty(scenario, async ([events, skews]) => {
            const { runs, violations } = await replay(events, skews, defaultKeyRangeGuards);
            ran += runs.length;
            expect(Math.max(0, ...runs)).toBeLessThanOrEqual(1);
            expect(violations).toBe(0);
        }),
        { numRuns: 300, seed: 11 },
    );
    expect(ran).toBeGreaterThan(200);
});

test("a key runs twice if any one of the guards is disabled", async () => {
    const open: Partial<KeyRangeGuards>[] = [
        { mayAccept: () => true },
        { isAfterTakeover: () => true },
        { isSeen: () => false },
    ];
    const cases = fc.sample(scenario, { numRuns: 300, seed: 11 });
    for (const guard of open) {
        let worst = 0;
        for (const [events, skews] of cases) {
            const { runs } = await replay(events, skews, { ...defaultKeyRangeGuards, ...guard });
            worst = Math.max(worst, 0, ...runs);
        }
        expect(worst, Object.keys(guard)[0]).toBeGreaterThan(1);
    }
});

test("an evicted key runs again if the window guard is disabled", async () => {
    const { clock, service, createOwner, send, mint } = createFixture();
    const owner = createOwner({ guards: { ...defaultKeyRangeGuards, isRemembered: () => true } });
    const key = mint();
    await send(owner, key);
    await clock.advance(windowMs + skewMs + 1);
    await send(owner, key);
    expect(service.control.runsByKey().get(key)).toBe(2);
});

test("a run that takes longer than the window keeps its record", async () => {
    const { clock, service, createOwner, executeOf, mint } = createFixture();
    const owner = createOwner();
    const key = mint();
    service.control.setLatency(2 * windowMs);
    void owner.run({ team, key, digest }, executeOf(key));
    await clock.advance(windowMs + skewMs + 1);
    const joined = owner.run({ team, key, digest }, executeOf(key)).then(describe);
    await clock.advance(2 * windowMs);
    expect(await joined).toMatch(/^ran /);
    expect(service.control.runsByKey().get(key)).toBe(1);
});

test("an execution that throws counts as unknown", async () => {
    const { createOwner, mint } = createFixture();
    const owner = createOwner();
    const key = mint();
    const execute = () => Promise.reject(new Error("unexpected"));
    const outcome = await owner.run({ team, key, digest }, execute);
    expect(outcome).toEqual({ kind: "unknown", code: resultCodes.internal });
    expect(await owner.run({ team, key, digest }, execute)).toEqual(outcome);
});
