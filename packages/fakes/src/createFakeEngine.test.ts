import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { expect, test } from "vitest";
import { createFakeEngine } from "./createFakeEngine.js";
import { fakeText } from "./fakeText.js";

const policy = "plume" as PolicyId;
const served = [{ policy, version: 1 as WeightVersion }];
const neverAborted = new AbortController().signal;

const requestOf = (attempt: string, change: Partial<EngineRequest> = {}): EngineRequest => ({
    attempt: attempt as AttemptId,
    policy,
    prompt: "ridge ".repeat(40),
    resumeText: "",
    resumeTokens: 0,
    maxTokens: 100,
    priority: 0,
    seed: 3,
    ...change,
});

const loadOrder = (version: number, fencing: number) => ({
    kind: "load" as const,
    policy,
    version: version as WeightVersion,
    location: "",
    fencing: fencing as FencingNumber,
});

function createFixture(options: { maxBatch?: number; swapMs?: number; honoursFencing?: boolean; } = {}) {
    const clock = createFakeClock();
    const random = createRandom(1);
    return { clock, ...createFakeEngine({ clock, random, served, lengthOf: () => 100, ...options }) };
}

test("engine time summed over all attempts equals the engine's busy time", async () => {
    const { clock, engine, control } = createFixture({ maxBatch: 3 });
    const ends = [1, 2, 3, 4, 5].map(n =>
        engine.generate(requestOf(`a${n}`, { seed: n }), () => {}, neverAborted)
    );
    await clock.advance(10_000);
    const finishes = await Promise.all(ends);
    const total = finishes.reduce((sum, finish) => sum + finish.engineMs, 0);
    expect(total).toBeCloseTo(control.busyMs(), 6);
    expect([...control.engineMsByAttempt().values()].reduce((sum, ms) => sum + ms, 0)).toBeCloseTo(total, 6);
    expect(finishes.map(finish => finish.cachedPromptTokens > 0)).toEqual([false, true, true, true, true]);
});

test("a resumed generation produces the same text as an uninterrupted one", async () => {
    const { clock, engine } = createFixture();
    const chunks: EngineChunk[] = [];
    const abort = new AbortController();
    const first = engine.generate(requestOf("a1"), chunk => chunks.push(chunk), abort.signal);
    clock.startTimer(450, () => abort.abort());
    await clock.advance(1_000);
    expect((await first).reason).toBe("cancelled");
    const resumeTokens = chunks.reduce((sum, chunk) => sum + chunk.tokens, 0);
    const resumeText = chunks.map(chunk => chunk.text).join("");
    expect(resumeTokens).toBeGreaterThan(0);
    const resumed = requestOf("a2", { resumeText, resumeTokens });
    const second = engine.generate(resumed, chunk => chunks.push(chunk), neverAborted);
    await clock.advance(5_000);
    expect((await second).reason).toBe("stop");
    expect(chunks.map(chunk => chunk.text).join("")).toBe(fakeText(resumed.prompt, resumed.seed, 0, 100));
});

test("chunks before and after a swap carry the fingerprint of the version that made them", async () => {
    const { clock, engine } = createFixture({ swapMs: 500 });
    const chunks: EngineChunk[] = [];
    const end = engine.generate(requestOf("a1"), chunk => chunks.push(chunk), neverAborted);
    clock.startTimer(300, () => void engine.order(loadOrder(2, 5)));
    await clock.advance(5_000);
    expect((await end).reason).toBe("stop");
    expect([...new Set(chunks.map(chunk => chunk.fingerprint))]).toEqual(["plume@1", "plume@2"]);
    expect(chunks.reduce((sum, chunk) => sum + chunk.tokens, 0)).toBe(100);
});

test("a failed load leaves the configured version served", async () => {
    const { clock, engine, control } = createFixture();
    for (const [leaves, expected] of [["old", 1], ["new", 2], [9 as WeightVersion, 9]] as const) {
        control.setServedVersion(policy, 1 as WeightVersion);
        control.failNextLoad(leaves);
        const result = engine.order(loadOrder(2, 5));
        await clock.advance(5_000);
        expect((await result).kind).toBe("failed");
        expect((await engine.describe()).served).toEqual([{ policy, version: expected }]);
    }
});

test("an order with an old fencing number is refused only by an engine that honours fencing", async () => {
    for (const honoursFencing of [true, false]) {
        const { clock, engine } = createFixture({ honoursFencing });
        void engine.order(loadOrder(2, 7));
        await clock.advance(5_000);
        const old = engine.order(loadOrder(1, 6));
        await clock.advance(5_000);
        expect((await old).kind).toBe(honoursFencing ? "fenced" : "done");
    }
});

test("a crash-inducing prompt ends all generations as crashed, and the restarted engine has a new boot id", async () => {
    const { clock, engine, control } = createFixture({ maxBatch: 2 });
    const before = await engine.describe();
    control.crashOn(request => request.prompt === "kill");
    const ends = ["p", "kill", "q"].map(prompt =>
        engine.generate(requestOf(prompt, { prompt }), () => {}, neverAborted)
    );
    await clock.advance(1_000);
    expect((await Promise.all(ends)).map(finish => finish.reason)).toEqual(["crashed", "crashed", "crashed"]);
    const refused = await engine.describe().catch((error: unknown) => codeOf(error).name);
    expect(refused).toBe("engineUnreachable");
    control.restart();
    expect((await engine.describe()).bootId).not.toBe(before.bootId);
});

test("waiting requests run by priority, then in order of arrival", async () => {
    const { clock, engine } = createFixture({ maxBatch: 1 });
    const order: string[] = [];
    for (const [attempt, priority] of [["a", 0], ["b", 1], ["c", 100], ["d", 1]] as const) {
        void engine.generate(requestOf(attempt, { priority }), () => {}, neverAborted).then(() =>
            order.push(attempt)
        );
    }
    await clock.advance(60_000);
    expect(order).toEqual(["a", "c", "b", "d"]);
});
