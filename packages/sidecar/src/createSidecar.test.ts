import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import { expect, test } from "vitest";
import { createSidecarFixture } from "./testing/createSidecarFixture.js";

type Outcome = AttemptOutcome<SampleAnswer>;
type SidecarFixture = ReturnType<typeof createSidecarFixture>;

const never = new AbortController().signal;

const describeOutcome = (outcome: Outcome): string =>
    outcome.kind === "ran"
        ? `ran ${outcome.answer.complete ? "whole" : "part"} ${
            outcome.answer.spans.map(span => `${span.tokens}@${span.version}`).join(" ")
        }`
        : `${outcome.kind} ${outcome.code.name}`;

function start(
    setup: SidecarFixture,
    attempt: SampleAttempt,
    signal = never,
): { outcome: Outcome | undefined; } {
    const pending: { outcome: Outcome | undefined; } = { outcome: undefined };
    void setup.sidecar.runSample(attempt, () => {}, signal).then(outcome => {
        pending.outcome = outcome;
    });
    return pending;
}

async function run(setup: SidecarFixture, attempt: SampleAttempt): Promise<string> {
    const pending = start(setup, attempt);
    await setup.clock.runUntil(() => pending.outcome !== undefined, 120_000);
    return describeOutcome(pending.outcome!);
}

async function createReadySidecar(
    options: Parameters<typeof createSidecarFixture>[0] = {},
): Promise<SidecarFixture> {
    const setup = createSidecarFixture(options);
    await setup.clock.advance(1);
    return setup;
}

test("a sample is run, stamped and counted as usage, and its spans stream in order", async () => {
    const setup = await createReadySidecar();
    const texts: string[] = [];
    let outcome: Outcome | undefined;
    void setup.sidecar.runSample(setup.attempt("a"), span => texts.push(span.text), never).then(ended => {
        outcome = ended;
    });
    await setup.clock.runUntil(() => outcome !== undefined, 10_000);
    expect(describeOutcome(outcome!)).toBe("ran whole 64@1");
    expect(outcome).toMatchObject({ answer: { spans: [{ text: texts.join("") }] } });
    const [counter] = await setup.sidecar.readUsage();
    expect(counter).toMatchObject({ team: "team", job: "job", tokens: 64, requests: 1 });
    expect(counter!.engineMs).toBeCloseTo(setup.control.busyMs(), 3);
});

test("each check refuses with its own code, and refused work does not run", async () => {
    const setup = await createReadySidecar();
    const { sidecar, attempt } = setup;
    const record: QuarantineRecord = {
        digest: attempt("poison").digest,
        deaths: ["vm-1", "vm-2"].map(vm => ({ vm: vm as never, bootId: "b", atMs: 1 })),
        expiresAtMs: setup.clock.wallMs() + 1_000_000,
        liftedAtMs: undefined,
    };
    sidecar.offerQuarantine(1, [record]);
    await sidecar.queryAttempt("late" as AttemptId);
    const results: Record<string, string> = {
        late: await run(setup, attempt("late")),
        quarantined: await run(setup, attempt("poison")),
        stale: await run(setup, attempt("stale", { minVersion: 2 })),
        policy: await run(setup, attempt("policy", { policy: "other" })),
        deadline: await run(setup, attempt("deadline", { budgetMs: 0 })),
        first: await run(setup, attempt("twice", { fencing: 6 })),
        fenced: await run(setup, attempt("fenced", { fencing: 5 })),
        twice: await run(setup, attempt("twice", { fencing: 6 })),
    };
    sidecar.beginLeaving();
    results["leaving"] = await run(setup, attempt("leaving"));
    expect(results).toMatchInlineSnapshot(`
      {
        "deadline": "notRun deadlinePassed",
        "fenced": "notRun fenced",
        "first": "ran whole 64@1",
        "late": "notRun tombstoned",
        "leaving": "notRun leaving",
        "policy": "notRun wrongPolicy",
        "quarantined": "notRun quarantined",
        "stale": "notRun staleWeights",
        "twice": "unknown connectionBroken",
      }
    `);
    expect([...setup.control.startsByAttempt().keys()]).toEqual(["twice"]);
    expect(setup.invariants.violations()).toBe(0);
});

test("a tombstone refuses a message that arrives late", async () => {
    // Guards against a request that runs twice: when it is sent again, and when its first message arrives late.
    const setup = await createReadySidecar();
    const asked = await setup.sidecar.queryAttempt("a" as AttemptId);
    expect(asked.state).toBe("neverSeen");
    expect(await run(setup, setup.attempt("a"))).toBe("notRun tombstoned");
    expect((await setup.sidecar.queryAttempt("a" as AttemptId)).state).toBe("neverSeen");
    expect(setup.control.startsByAttempt().size).toBe(0);
});

test("a restarted sidecar answers only for its own incarnation", async () => {
    // Guards against an answer of "not run" for an attempt that ran at the previous incarnation.
    const setup = await createReadySidecar();
    const pending = start(setup, setup.attempt("a"));
    await setup.clock.advance(100);
    const { incarnation } = await setup.sidecar.queryAttempt("a" as AttemptId);
    setup.sidecar.kill();
    await setup.clock.advance(100);
    expect(describeOutcome(pending.outcome!)).toBe("unknown connectionBroken");
    await expect(setup.sidecar.queryAttempt("a" as AttemptId)).rejects.toThrow("sidecarUnreachable");
    expect(await run(setup, setup.attempt("b"))).toBe("notRun connectFailed");
    const next = await createReadySidecar({ sampler: "s1b" });
    expect((await next.sidecar.queryAttempt("a" as AttemptId)).incarnation).toBeTypeOf("string");
    expect(incarnation).toHaveLength(32);
});

test("an engine crash makes its attempts unknown and their contents suspect", async () => {
    // Guards against one crash-inducing content that crashes engine after engine.
    const setup = await createReadySidecar();
    setup.control.crashOn(request => request.attempt === "poison");
    const crashing = start(setup, setup.attempt("poison"));
    const neighbour = start(setup, setup.attempt("neighbour"));
    await setup.clock.advance(200);
    expect([crashing, neighbour].map(each => describeOutcome(each.outcome!))).toEqual([
        "unknown engineCrashed",
        "unknown engineCrashed",
    ]);
    const { state, suspects } = setup.sidecar.report();
    expect(state).toBe("engineDown");
    expect(suspects.map(suspect => [suspect.digest, suspect.deaths.length])).toEqual([
        ["digest-poison", 1],
        ["digest-neighbour", 1],
    ]);
    expect(await run(setup, setup.attempt("c"))).toBe("notRun engineDown");
    // A content that only ran beside the crash-inducing one is cleared by its next clean finish.
    setup.control.restart();
    await setup.clock.advance(2_000);
    expect(await run(setup, setup.attempt("again", { digest: "digest-neighbour" }))).toBe("ran whole 64@1");
    expect(setup.sidecar.report().suspects.map(suspect => suspect.digest)).toEqual(["digest-poison"]);
});

test("a leaving sampler finishes its running work; a shutdown ends the rest at its deadline with correct outcomes", async () => {
    const setup = await createReadySidecar({ engine: { maxBatch: 1, lengthOf: () => 400 } });
    const short = start(setup, setup.attempt("short", { maxTokens: 32 }));
    const waiting = start(setup, setup.attempt("waiting"));
    await setup.clock.advance(10);
    let stopped = false;
    void setup.sidecar.shutdown(1_000).then(() => {
        stopped = true;
    });
    await setup.clock.advance(600);
    expect(describeOutcome(short.outcome!)).toBe("ran whole 32@1");
    expect(describeOutcome(waiting.outcome!)).toBe("notRun shuttingDown");
    expect(stopped).toBe(true);

    const slow = await createReadySidecar({ engine: { lengthOf: () => 400 } });
    const long = start(slow, slow.attempt("long", { maxTokens: 400 }));
    await slow.clock.advance(10);
    void slow.sidecar.shutdown(1_000);
    await slow.clock.advance(1_500);
    expect(describeOutcome(long.outcome!)).toMatch(/^ran part \d+@1$/);
    expect(setup.invariants.violations() + slow.invariants.violations()).toBe(0);
});

test("an older manifest or quarantine list never replaces a newer one", async () => {
    const setup = await createReadySidecar();
    const manifest = { name: "m", teams: [], services: [], samplers: [], jobs: [], limits: {} } as never;
    expect(setup.sidecar.offerManifest({ version: 4 as never, manifest })).toBe(true);
    expect(setup.sidecar.offerManifest({ version: 3 as never, manifest })).toBe(false);
    expect(setup.sidecar.offerManifest({ version: 4 as never, manifest })).toBe(false);
    expect(setup.sidecar.report().configVersion).toBe(4);
    expect(setup.sidecar.offerQuarantine(2, [])).toBe(true);
    expect(setup.sidecar.offerQuarantine(1, [])).toBe(false);
});

test("a cancelled sample returns the tokens generated so far and resumes after them at another sampler", async () => {
    const setup = await createReadySidecar();
    const abort = new AbortController();
    const pending = start(setup, setup.attempt("a"), abort.signal);
    await setup.clock.advance(300);
    abort.abort();
    await setup.clock.advance(10);
    const outcome = pending.outcome!;
    expect(describeOutcome(outcome)).toMatch(/^ran part \d+@1$/);
    const resume = outcome.kind === "ran" ? outcome.answer.spans : [];
    const other = await createReadySidecar();
    expect(await run(other, other.attempt("b", { resume }))).toBe("ran whole 64@1");
});

test("a completion waits no longer than the interactive wait, and the rollout it preempts keeps its tokens", async () => {
    // Guards against an interactive request that waits for a rollout to end.
    const setup = await createReadySidecar({
        engine: { maxBatch: 2, lengthOf: request => request.priority === 100 ? 8 : 4_000 },
    });
    const important = start(setup, setup.attempt("important", { maxTokens: 4_000, priority: 90 }));
    const displaced = start(setup, setup.attempt("displaced", { maxTokens: 4_000, priority: 10 }));
    await setup.clock.advance(2_000);
    const askedAtMs = setup.clock.monotonicMs();
    let answeredAtMs = 0;
    const request = {
        ...setup.attempt("quote"),
        service: "model",
        method: "POST",
        path: "/v1/completions",
        headers: {},
        body: Buffer.from(JSON.stringify({ model: "plume", prompt: "quote", max_tokens: 8 })),
        idempotent: true,
    } as unknown as PlainRequest;
    void setup.sidecar.callPlain(request, never).then(outcome => {
        expect(outcome).toMatchObject({ kind: "ran", answer: { status: 200 } });
        answeredAtMs = setup.clock.monotonicMs();
    });
    await setup.clock.runUntil(() => answeredAtMs > 0, 10_000);
    // 250 ms of waiting, then 8 tokens at 100 tokens a second in a batch of two.
    expect(answeredAtMs - askedAtMs).toBeLessThan(250 + 150);
    expect(describeOutcome(displaced.outcome!)).toMatch(/^ran part \d{2,}@1$/);
    expect(important.outcome).toBeUndefined();
});

test("work beyond the team's queue limit is refused at once, and work whose budget has passed never runs", async () => {
    const setup = await createReadySidecar({ engine: { maxBatch: 1, lengthOf: () => 1_000 } });
    const limits = { maxQueuedPerTeam: 2, interactiveWaitMs: 250 };
    const manifest = { name: "m", teams: [], services: [], samplers: [], jobs: [], limits } as never;
    setup.sidecar.offerManifest({ version: 1 as never, manifest });
    const started = ["running", "soon", "late", "refused"].map(id =>
        start(setup, setup.attempt(id, { maxTokens: 1_000, budgetMs: id === "late" ? 500 : 60_000 }))
    );
    await setup.clock.advance(1_000);
    expect(started.map(({ outcome }) => outcome && describeOutcome(outcome))).toEqual([
        undefined,
        undefined,
        "notRun deadlinePassed",
        "notRun queueFull",
    ]);
    await setup.clock.advance(30_000);
    expect([...setup.control.startsByAttempt().keys()]).toEqual(["running", "soon"]);
});
