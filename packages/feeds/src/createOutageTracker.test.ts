import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { expect, test } from "vitest";
import { createOutageTracker } from "./createOutageTracker.js";
import { feedSchemas } from "./feedSchemas.js";

const gracePeriodMs = 2_500;

function createFixture() {
    const clock = createFakeClock();
    const own = { lostAtMs: undefined as number | undefined, regainedAtMs: -Infinity };
    const evidence = createOutageTracker({
        storeSilentMs: () => own.lostAtMs === undefined ? 0 : clock.monotonicMs() - own.lostAtMs,
        storeRegainedMs: () => clock.monotonicMs() - own.regainedAtMs,
        clock,
    });
    const lose = (): void => {
        own.lostAtMs = clock.monotonicMs();
    };
    const regain = (): void => {
        own.lostAtMs = undefined;
        own.regainedAtMs = clock.monotonicMs();
    };
    return { clock, evidence, lose, regain };
}

test("a store that only this process cannot reach is not an outage", async () => {
    const { clock, evidence, lose, regain } = createFixture();
    lose();
    await clock.advance(10_000);
    regain();
    expect(evidence.sinceOutageMs()).toBe(Infinity);
});

test("an outage reported by a runner lasts until this process reaches the store again", async () => {
    const { clock, evidence, lose, regain } = createFixture();
    lose();
    evidence.recordOutage(0);
    await clock.advance(10_000);
    regain();
    await clock.advance(300);
    const soonMs = evidence.sinceOutageMs();
    await clock.advance(gracePeriodMs);
    expect([soonMs >= 300, soonMs <= 500, evidence.sinceOutageMs() > gracePeriodMs]).toEqual([
        true,
        true,
        true,
    ]);
});

test("a report of no outage is accepted, and a report of an outage is not while this process reaches the store", async () => {
    const { clock, evidence, lose, regain } = createFixture();
    lose();
    evidence.recordOutage(0);
    await clock.advance(5_000);
    regain();
    evidence.recordStoreUp();
    const firstSinceOutageMs = evidence.sinceOutageMs();
    await clock.advance(4_000);
    evidence.recordOutage(0);
    expect([firstSinceOutageMs, evidence.sinceOutageMs()]).toEqual([Infinity, 4_000]);
});

test("the outage field is parsed from answers, and is absent in those of an earlier version", () => {
    const listed = { kind: "listed" as const, objects: [], revision: 7, sinceOutageMs: 40 };
    const { sinceOutageMs: _sinceOutageMs, ...earlier } = listed;
    expect([
        feedSchemas.answer.parse(listed),
        feedSchemas.answer.parse({ kind: "unsure", sinceOutageMs: 0 }),
        feedSchemas.answer.parse(earlier),
    ]).toEqual([listed, { kind: "unsure", sinceOutageMs: 0 }, earlier]);
});
