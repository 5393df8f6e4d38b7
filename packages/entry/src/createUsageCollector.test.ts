import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { UsageCounter } from "@auburnarch/types/UsageCounter";
import { expect, test } from "vitest";
import { createUsageCollector } from "./createUsageCollector.js";
import { createTestContext } from "./testing/createTestContext.js";

const sampler = "rollout-1" as SamplerId;
const counter = (incarnation: string, engineMs: number): UsageCounter =>
    ({
        sampler,
        incarnation,
        team: "plume",
        job: "forecast",
        engineMs,
        tokens: engineMs,
        requests: 1,
    }) as never;

function createFixture() {
    const context = createTestContext();
    let counters: UsageCounter[] = [];
    let isReachable = true;
    const start = (self = "entry-1") => {
        const collector = createUsageCollector({
            ...context,
            self: self as EntryId,
            listAssignedSamplers: () => [sampler],
            sidecar: () => ({
                readUsage: () => isReachable ? Promise.resolve(counters) : Promise.reject(new Error("down")),
            }),
        });
        collector.start();
        return collector;
    };
    return {
        ...context,
        start,
        setCounters: (next: UsageCounter[]) => {
            counters = next;
        },
        setReachable: (next: boolean) => {
            isReachable = next;
        },
    };
}

const total = (counters: UsageCounter[]): number => counters.reduce((sum, each) => sum + each.engineMs, 0);

test("a counter that two entries read repeatedly is counted once", async () => {
    const { clock, start, setCounters, settle } = createFixture();
    setCounters([counter("a", 500)]);
    const collectors = [start(), start("entry-2")];
    await clock.advance(70_000);
    expect(total(await settle(collectors[0]!.readAll()))).toBe(500);
});

test("usage from before a restart of sidecar and entry is still counted", async () => {
    // Guards against charging a team for less than it used.
    const { clock, start, setCounters, settle } = createFixture();
    setCounters([counter("a", 500)]);
    const before = start();
    await clock.advance(35_000);
    before.stop();
    setCounters([counter("b", 70)]);
    const after = start();
    await clock.advance(35_000);
    expect(total(await settle(after.readAll()))).toBe(570);
    expect(total(await settle(start("entry-2").readAll()))).toBe(570);
});

test("usage is stored again after an outage of the object API, even if the first answer is lost", async () => {
    // Guards against usage that is no longer stored after an outage.
    const { clock, control, start, setCounters, settle } = createFixture();
    const collector = start();
    setCounters([counter("a", 100)]);
    await clock.advance(31_000);
    control.setOutage(true);
    setCounters([counter("a", 200)]);
    await clock.advance(60_000);
    expect(total(collector.listCollected())).toBe(200);
    expect(await settle(collector.readAll().catch(codeOf))).toBe(resultCodes.storeUnavailable);
    control.setOutage(false);
    control.loseAnswers(1);
    await clock.advance(61_000);
    setCounters([counter("a", 300)]);
    await clock.advance(40_000);
    expect(total(await settle(start("entry-2").readAll()))).toBe(300);
});

test("a sampler that does not answer is named, and its earlier usage remains counted", async () => {
    const { start, setCounters, setReachable, settle } = createFixture();
    const collector = start();
    setCounters([counter("a", 500)]);
    expect(await settle(collector.collect())).toEqual([]);
    setReachable(false);
    expect(await settle(collector.collect())).toEqual([sampler]);
    expect(total(collector.listCollected())).toBe(500);
});
