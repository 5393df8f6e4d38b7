import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { expect, test } from "vitest";
import { createOutageTracker } from "./createOutageTracker.js";
import { feedSchemas } from "./feedSchemas.js";

const gracePeriodMs = 2_500;

function createFixture() {
    const clock = createFakeClock();
    const own = { disconnectedAtMs: undefined as number | undefined, reconnectedAtMs: -Infinity };
    const tracker = createOutageTracker({
        storeSilentMs: () =>
            own.disconnectedAtMs === undefined ? 0 : clock.monotonicMs() - own.disconnectedAtMs,
        sinceStoreRecoveryMs: () => clock.monotonicMs() - own.reconnectedAtMs,
        clock,
    });
    const disconnect = (): void => {
        own.disconnectedAtMs = clock.monotonicMs();
    };
    const reconnect = (): void => {
        own.disconnectedAtMs = undefined;
        own.reconnectedAtMs = clock.monotonicMs();
    };
    return { clock, tracker, disconnect, reconnect };
}

test("a store that only this process cannot reach is not an outage", async () => {
    const { clock, tracker, disconnect, reconnect } = createFixture();
    disconnect();
    await clock.advance(10_000);
    reconnect();
    expect(tracker.sinceOutageMs()).toBe(Infinity);
});

test("an outage reported by a runner lasts until this process reaches the store again", async () => {
    const { clock, tracker, disconnect, reconnect } = createFixture();
    disconnect();
    tracker.recordOutage(0);
    await clock.advance(10_000);
    reconnect();
    await clock.advance(300);
    const soonMs = tracker.sinceOutageMs();
    await clock.advance(gracePeriodMs);
    expect([soonMs >= 300, soonMs <= 500, tracker.sinceOutageMs() > gracePeriodMs]).toEqual([
        true,
        true,
        true,
    ]);
});

test("a report of no outage is accepted, and a report of an outage is not while this process reaches the store", async () => {
    const { clock, tracker, disconnect, reconnect } = createFixture();
    disconnect();
    tracker.recordOutage(0);
    await clock.advance(5_000);
    reconnect();
    tracker.recordStoreUp();
    const firstSinceOutageMs = tracker.sinceOutageMs();
    await clock.advance(4_000);
    tracker.recordOutage(0);
    expect([firstSinceOutageMs, tracker.sinceOutageMs()]).toEqual([Infinity, 4_000]);
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
