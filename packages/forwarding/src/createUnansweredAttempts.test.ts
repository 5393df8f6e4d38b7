import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { createTestDirectory } from "@auburnarch/discovery/testing/createTestDirectory";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import { expect, test } from "vitest";
import { createUnansweredAttempts } from "./createUnansweredAttempts.js";

const sampler = "s1" as IncarnationId;

function createFixture() {
    const clock = createFakeClock();
    const samplers: RegisteredSampler[] = [createTestSampler("s1")];
    const unanswered = createUnansweredAttempts({ directory: createTestDirectory(samplers), clock });
    const crashedAfterMs: number[] = [];
    unanswered.record(sampler, clock.monotonicMs(), ageMs => crashedAfterMs.push(ageMs));
    return { clock, samplers, unanswered, crashedAfterMs };
}

test("an unanswered attempt counts as a crash once its sampler disappears or accepts no connection", async () => {
    const gone = createFixture();
    await gone.clock.advance(1_700);
    gone.samplers.pop();
    await gone.clock.advance(1_000);
    const refusing = createFixture();
    await refusing.clock.advance(300);
    refusing.unanswered.recordFailure(sampler);
    refusing.unanswered.recordFailure(sampler);
    expect([gone.crashedAfterMs, refusing.crashedAfterMs]).toEqual([[2_000], [300]]);
});

test("an unanswered attempt says nothing if its sampler answers later, leaves as planned or remains", async () => {
    // Guards against harmless requests that are refused because their samplers are slow.
    const slow = createFixture();
    slow.unanswered.recordAnswer(sampler);
    slow.unanswered.recordFailure(sampler);
    const leaving = createFixture();
    leaving.samplers[0] = createTestSampler("s1", { isDraining: true });
    await leaving.clock.advance(1_000);
    leaving.samplers.pop();
    await leaving.clock.advance(1_000);
    const silent = createFixture();
    await silent.clock.advance(16_000);
    silent.samplers.pop();
    await silent.clock.advance(1_000);
    expect([slow, leaving, silent].map(each => each.crashedAfterMs)).toEqual([[], [], []]);
});
