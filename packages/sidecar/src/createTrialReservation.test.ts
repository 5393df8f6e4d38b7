import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import { expect, test } from "vitest";
import { createSidecarFixture } from "./testing/createSidecarFixture.js";

const never = new AbortController().signal;
const both = ["vm-a", "vm-b"];

async function createReadySidecar(tokensPerSecond: number) {
    const setup = createSidecarFixture({ engine: { tokensPerSecond } });
    const { clock, sidecar, attempt } = setup;
    await clock.advance(1_500);
    const deaths = both.map(vm => ({ vm, bootId: `boot-${vm}`, atMs: clock.wallMs() }));
    const record = {
        digest: "digest-x",
        deaths,
        expiresAtMs: clock.wallMs() + 3_600_000,
        liftedAtMs: undefined,
    };
    sidecar.offerQuarantine(1, [record] as unknown as Parameters<typeof sidecar.offerQuarantine>[1]);
    const ends: Record<string, string> = {};
    const run = (id: string, change: Partial<Record<keyof SampleAttempt, unknown>> = {}): void => {
        void sidecar.runSample(attempt(id, change), () => undefined, never).then(outcome => {
            ends[id] = outcome.kind === "ran" ? `ran ${outcome.answer.complete}` : outcome.code.name;
        });
    };
    const trial = (id: string): void => run(id, { digest: "digest-x", isTrial: true });
    return { ...setup, run, trial, ends };
}

test("a trial waits for running work, and nothing else starts until it has ended", async () => {
    // Guards against a crash-inducing content that takes other work down with it, so that its crash makes all of them
    // suspect again.
    const { clock, control, sidecar, run, trial, ends } = await createReadySidecar(64);
    run("before");
    await clock.advance(50);
    trial("trial");
    await clock.advance(100);
    run("after");
    run("refused", { digest: "digest-x" });
    await clock.advance(100);
    expect([...control.startsByAttempt().keys()]).toEqual(["before"]);
    expect(ends).toEqual({ after: "overloaded", refused: "overloaded" });
    expect(sidecar.report().limit).toBe(1);
    await clock.advance(1_500);
    expect([...control.startsByAttempt().keys()]).toEqual(["before", "trial"]);
    run("during");
    await clock.advance(1_500);
    expect(ends).toMatchObject({ before: "ran true", during: "overloaded", trial: "ran true" });
    run("then");
    await clock.advance(1_500);
    expect(ends).toMatchObject({ then: "ran true" });
});

test("long work is cancelled for a trial after a delay, and a second trial is refused", async () => {
    const { clock, control, run, trial, ends } = await createReadySidecar(2);
    run("long");
    await clock.advance(50);
    trial("first");
    trial("second");
    await clock.advance(4_900);
    expect(ends).toEqual({ second: "overloaded" });
    await clock.advance(500);
    expect(ends).toMatchObject({ long: "ran false" });
    expect(control.startsByAttempt().has("first" as never)).toBe(true);
});

test("a trial with a small budget is refused while half of the budget is left", async () => {
    // Guards against a sampler that stays idle for a caller that has disconnected, and a harmless content that is
    // refused for an hour longer.
    const { clock, sidecar, attempt, run, ends } = await createReadySidecar(2);
    const body = JSON.stringify({ model: "plume", prompt: "long", max_tokens: 64 });
    const request = { service: "model", team: "team", method: "POST", path: "/v1/completions", headers: {} };
    const uncancellable = { ...request, attempt: "quote", digest: "q", idempotent: true, budgetMs: 60_000 };
    void sidecar.callPlain({ ...uncancellable, body: Buffer.from(body) } as never, never);
    await clock.advance(50);
    run("trial", { digest: "digest-x", isTrial: true, budgetMs: 2_000 });
    await clock.advance(900);
    expect(ends).toEqual({});
    await clock.advance(200);
    expect(ends).toEqual({ trial: "overloaded" });
    void sidecar.runSample(attempt("after"), () => undefined, never);
    await clock.advance(50);
    expect(sidecar.report().running).toBe(2);
});
