import { createWaitingQueue } from "@auburnarch/queue/createWaitingQueue";
import { orderByLatestStart } from "@auburnarch/queue/orderByLatestStart";
import type { WaitingSample } from "@auburnarch/queue/WaitingSample";
import { createTestCandidate } from "@auburnarch/selection/testing/createTestCandidate";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createDispatchState } from "./createDispatchState.js";
import { createNeedForecast } from "./createNeedForecast.js";
import { createPrefixHints } from "./createPrefixHints.js";
import { createPromptLengthModel } from "./createPromptLengthModel.js";
import { defaultDispatchPolicy } from "./defaultDispatchPolicy.js";
import { findCriticalSamplers } from "./findCriticalSamplers.js";
import { holdForFreshness } from "./holdForFreshness.js";
import { joinSpans } from "./joinSpans.js";
import { limitStragglerBatch } from "./limitStragglerBatch.js";
import { moveToFaster } from "./moveToFaster.js";
import { priorityByNeed } from "./priorityByNeed.js";
import { roomBesideOthers } from "./roomBesideOthers.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import type { SampleWork } from "./SampleWork.js";

type Span = Parameters<typeof joinSpans>[0][number];
const span = (
    version: number,
    tokens: number,
): Span => ({ version, tokens, text: "x".repeat(tokens) } as Span);
const sampler = "a" as Parameters<ReturnType<typeof createPrefixHints>["recordSent"]>[1];

test("room is the free slots, or two waiting attempts on a sampler that is full because of other senders", () => {
    const room = (limit: number, load: number, outstanding: number, started: number): number =>
        roomBesideOthers({ limit, load, outstanding, started });
    expect({
        empty: room(8, 0, 0, 0),
        partly: room(8, 5, 5, 5),
        fullOfOurs: room(8, 8, 8, 8),
        fullOfOthers: room(8, 8, 0, 0),
        fullOfBothOneWaits: room(8, 10, 4, 3),
        fullOfBothTwoWait: room(8, 10, 5, 3),
        noLimit: room(0, 0, 0, 0),
    }).toMatchInlineSnapshot(`
      {
        "empty": 8,
        "fullOfBothOneWaits": 1,
        "fullOfBothTwoWait": 0,
        "fullOfOthers": 2,
        "fullOfOurs": 0,
        "noLimit": 1,
        "partly": 3,
      }
    `);
});

test("priority rises as the need date approaches and stays below that of interactive requests", () => {
    const at = (nowMs: number): number =>
        priorityByNeed({ jobPriority: 5, needAtMs: 60_000, nowMs, expectedRunMs: 10_000 });
    expect([0, 30_000, 40_000, 50_000, 90_000].map(at)).toMatchInlineSnapshot(`
      [
        25,
        25,
        45,
        65,
        65,
      ]
    `);
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 10 }), fc.integer(), fc.nat(), (jobPriority, nowMs, runMs) => {
            const priority = priorityByNeed({ jobPriority, needAtMs: 0, nowMs, expectedRunMs: runMs });
            expect(priority).toBeGreaterThanOrEqual(0);
            expect(priority).toBeLessThanOrEqual(99);
        }),
    );
});

test("the expected length moves from the job's mean to the prompt's own mean as its samples finish", () => {
    const model = createPromptLengthModel();
    const expected: number[] = [model.expectRemaining("hard", 0, 4_000)];
    for (let round = 0; round < 20; round++) {
        model.observe(`easy ${round}`, 100);
    }
    expected.push(model.expectRemaining("hard", 0, 4_000));
    for (let round = 0; round < 4; round++) {
        model.observe("hard", 1_000);
        expected.push(Math.round(model.expectRemaining("hard", 0, 4_000)));
    }
    expect(expected).toMatchInlineSnapshot(`
      [
        2000,
        100,
        429,
        591,
        687,
        750,
      ]
    `);
});

test("a sample that exceeds its prediction is expected to continue like earlier long samples", () => {
    const model = createPromptLengthModel();
    [100, 100, 100, 100, 1_000, 1_200].forEach((tokens, index) => model.observe(`p${index}`, tokens));
    expect([50, 200, 900, 3_000].map(produced => Math.round(model.expectRemaining("p0", produced, 4_000))))
        .toMatchInlineSnapshot(`
          [
            383,
            900,
            200,
            500,
          ]
        `);
});

test("steps opened in one burst are not all needed at the same time", () => {
    // Guards against samples of the next step that run while the trainer waits for the current one.
    const needs = createNeedForecast(() => 20_000);
    needs.recordOpened(0, 0);
    needs.recordOpened(1, 0);
    expect([needs.needAtMs(0, 20_000, 0, 0), needs.needAtMs(1, 20_000, 0, 5_000)]).toEqual([20_000, 25_000]);
    needs.recordOpened(2, 30_000);
    expect(needs.needAtMs(2, 50_000, 1, 30_000)).toBe(60_000);
});

test("a prefix hint decays and is removed when the engine reports no cached tokens", () => {
    const hints = createPrefixHints();
    hints.recordSent("prompt", sampler, 0);
    const at = (nowMs: number): number => hints.expectCachedTokens("prompt", sampler, 800, nowMs);
    expect([at(0), at(30_000), at(60_000)]).toEqual([800, 400, 200]);
    hints.recordCacheResult("prompt", sampler, 0);
    expect(at(0)).toBe(0);
});

test("a straggler moves to a much faster sampler with room, at most twice", () => {
    const slow = createTestCandidate("slow", { observedTokensPerSecond: 40 });
    const fast = createTestCandidate("fast", { observedTokensPerSecond: 150 });
    const full = createTestCandidate("full", { observedTokensPerSecond: 300, room: 0 });
    const target = (leftTokens: number, moves = 0): string | undefined =>
        moveToFaster({ current: slow, leftTokens, madeTokens: 500, moves }, [slow, fast, full])?.view.report
            .sampler;
    expect([target(800), target(20), target(800, 2)]).toEqual(["fast", undefined, undefined]);
    const same = createTestCandidate("same", { observedTokensPerSecond: 40 });
    expect(moveToFaster({ current: slow, leftTokens: 800, madeTokens: 0, moves: 0 }, [slow, same]))
        .toBeUndefined();
});

test("joined spans keep every token in order and have no neighbours of the same version", () => {
    const drawn = fc.array(fc.record({ version: fc.integer({ min: 1, max: 3 }), tokens: fc.nat(5) }), {
        maxLength: 20,
    });
    fc.assert(fc.property(drawn, drawn, (first, second) => {
        const toSpans = (list: typeof first): Span[] =>
            list.map(({ version, tokens }) => span(version, tokens));
        const joined = joinSpans(toSpans(first), toSpans(second));
        const flat = (spans: { version: number; tokens: number; }[]): number[] =>
            spans.flatMap(({ version, tokens }) => Array.from({ length: tokens }, () => version));
        expect(flat(joined)).toEqual(flat([...first, ...second]));
        expect(joined.every((part, at) => at === 0 || part.version !== joined[at - 1]!.version)).toBe(true);
    }));
});

test("the queue returns due samples in order and skips those removed during iteration", () => {
    const queue = createWaitingQueue<WaitingSample>(orderByLatestStart);
    const waiting = (
        latestStartMs: number,
        notBeforeMs = 0,
    ): WaitingSample => ({ latestStartMs, notBeforeMs, arrivalOrder: latestStartMs } as WaitingSample);
    const [late, early, paused, middle] = [waiting(30), waiting(10), waiting(5, 1_000), waiting(20)];
    [late, early, paused, middle].forEach(queue.add);
    const seen: number[] = [];
    for (const work of queue.due(0)) {
        seen.push(work.latestStartMs);
        queue.remove(middle);
    }
    expect([seen, queue.size()]).toEqual([[10, 30], 3]);
    paused.latestStartMs = 40;
    queue.invalidateOrder();
    expect([...queue.due(1_000)].map(work => work.latestStartMs)).toEqual([10, 30, 40]);
});

test("only later steps of jobs that prefer freshness over idle time are held, and only while there is time to spare", () => {
    const base = {
        stepsAhead: 1,
        latestStartMs: 60_000,
        backlogMs: 10_000,
        longRunMs: 20_000,
        freshnessWeight: 1,
        nowMs: 0,
    };
    expect({
        early: holdForFreshness(base),
        inTime: holdForFreshness({ ...base, nowMs: 28_000 }),
        oldestStep: holdForFreshness({ ...base, stepsAhead: 0 }),
        neutral: holdForFreshness({ ...base, freshnessWeight: 0.5 }),
        longBacklog: holdForFreshness({ ...base, backlogMs: 40_000 }),
        noSamplers: holdForFreshness({ ...base, backlogMs: Infinity }),
    }).toMatchInlineSnapshot(`
      {
        "early": true,
        "inTime": false,
        "longBacklog": false,
        "neutral": false,
        "noSamplers": false,
        "oldestStep": false,
      }
    `);
});

test("a sampler is critical while it runs a straggler that the trainer waits for and no other sample of its step waits", () => {
    const deps = { job: () => ({ stepNeedMs: 20_000 }) } as Parameters<typeof createDispatchState>[0];
    const state = createDispatchState(deps, defaultDispatchPolicy);
    const work = (
        step: number,
        name: string,
    ): SampleWork => ({
        task: { step, sample: name, needAtMs: 20_000 },
        running: new Set(),
        latestStartMs: 0,
    } as unknown as SampleWork);
    const run = (of: SampleWork, on: string, tokens: number): void => {
        state.unfinished.set(of.task.sample, of);
        state.attempts.add(
            { work: of, sampler: on, tokens, expectedTokens: 100 } as unknown as RunningAttempt,
        );
    };
    run(work(0, "straggler"), "a", 500);
    run(work(0, "ordinary"), "b", 50);
    run(work(1, "next"), "c", 500);
    expect([...findCriticalSamplers(state, 1_000)]).toEqual([]);
    expect([...findCriticalSamplers(state, 16_000)]).toEqual(["a"]);
    const waiting = work(0, "waiting");
    state.unfinished.set(waiting.task.sample, waiting);
    state.queue.add(waiting);
    expect([...findCriticalSamplers(state, 16_000)]).toEqual([]);
    expect([limitStragglerBatch(8), limitStragglerBatch(2)]).toEqual([3, 2]);
});
