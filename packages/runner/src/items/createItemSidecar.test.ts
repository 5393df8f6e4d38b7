import type { BatchJob } from "@auburnarch/batches/BatchJob";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { SamplerReply } from "@auburnarch/forwarding/SamplerReply";
import type { SamplerRequest } from "@auburnarch/forwarding/SamplerRequest";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { Route } from "@auburnarch/routing/Route";
import { limitBody } from "@auburnarch/transport/limitBody";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { expect, test } from "vitest";
import { createItemSidecar } from "./createItemSidecar.js";
import { createSamplerHealth } from "./createSamplerHealth.js";
import type { ItemEvent } from "./ItemEvent.js";
import type { ItemRun } from "./ItemRun.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const version = (value: number): WeightVersion => value as WeightVersion;
const sampler = { incarnation: "s-1" as IncarnationId, served: [] } as unknown as RegisteredSampler;
const event = (number: number, weightVersion?: number): ItemEvent => ({
    number,
    data: `e${number}`,
    weightVersion: weightVersion === undefined ? undefined : version(weightVersion),
});
const span = (at: number, text: string): TokenSpan => ({ version: version(at), tokens: 1, text });
const answered = (status: number, weightVersion: number | undefined = 4): SamplerReply => ({
    kind: "answered",
    status,
    headers: {},
    body: (async function*() {})(),
    signature: "proof",
    weightVersion: weightVersion === 0 ? undefined : version(weightVersion),
});

async function run(reply: SamplerReply, events: ItemEvent[], resume: TokenSpan[] = [], isBroken = false) {
    const terminated: string[] = [];
    const sent: SamplerRequest[] = [];
    const spans: TokenSpan[] = [];
    const clock = createFakeClock();
    const samplerHealth = createSamplerHealth(clock);
    const metrics = createMetrics();
    const item: ItemRun = {
        batchJob: { host: "a", policy: "m0" } as unknown as BatchJob,
        item: {
            item: "i1" as SampleId,
            path: "/p",
            headers: {},
            bodyBase64: "",
            maxOutputTokens: 3,
        } as unknown as ItemRun["item"],
        expectedEvents: undefined,
        failures: 2,
        terminate: reason => terminated.push(reason),
    };
    const sidecar = createItemSidecar({
        findRun: () => item,
        findRoute: () => ({ maxAttempts: 3 }) as unknown as Route,
        mayRunAt: () => true,
        findSampler: () => sampler,
        callSampler: async request => {
            sent.push(request);
            return reply;
        },
        readEvents: async function*(body, maxBytes) {
            for await (const _chunk of limitBody(body, maxBytes)) {
                // Events are told by the test.
            }
            yield* events;
            if (isBroken) {
                throw new Error("reset");
            }
        },
        samplerHealth,
        clock,
        logger: silent,
        metrics,
    }, "s-1" as SamplerId);
    const attempt = {
        attempt: "a",
        sample: "l/i1",
        minVersion: version(3),
        resume,
    } as unknown as SampleAttempt;
    const outcome = await sidecar.runSample(attempt, each => spans.push(each), new AbortController().signal);
    return {
        outcome: describeOutcome(outcome),
        terminated,
        sent,
        isSuspected: samplerHealth.isSuspected(sampler.incarnation),
        isCounted: (await metrics.render()).includes("answers_spoiled_total"),
        spans: spans.map(each => `${each.version}:${each.text.trim()}`),
    };
}

const describeOutcome = (outcome: AttemptOutcome<SampleAnswer>): string =>
    outcome.kind === "ran"
        ? `ran ${outcome.answer.spans.map(each => `${each.version}:${each.text.trim()}`).join(" ")}`
        : `${outcome.kind} ${outcome.code.name}`;

test("each event is attributed to the weights that generated it, also if they change within the run", async () => {
    const { outcome } = await run(answered(200, 4), [event(1), event(2, 5), event(3)]);
    expect(outcome).toBe("ran 4:e1 5:e2 5:e3");
});

test("a run resumes after the events that exist, and requests only the remaining ones from the sampler", async () => {
    const { outcome, sent, spans } = await run(answered(200, 6), [event(3)], [
        span(4, "e1\n"),
        span(5, "e2\n"),
    ]);
    expect([outcome, sent[0]!.lastEventNumber, spans]).toEqual(["ran 4:e1 5:e2 6:e3", 2, ["6:e3"]]);
});

test("an event out of order ends the run, and none of its events count", async () => {
    // Guards against a text with an event missing.
    expect((await run(answered(200), [event(2)])).outcome).toBe("unknown answerMixed");
    expect((await run(answered(200), [event(1), event(1)])).outcome).toBe("unknown answerMixed");
});

test("an interrupted stream has an unknown outcome, and its events so far are passed on", async () => {
    const { outcome, spans } = await run(answered(200), [event(1), event(2)], [], true);
    expect([outcome, spans]).toEqual(["unknown connectionBroken", ["4:e1", "4:e2"]]);
});

test("an answer that does not state its weight version is not used", async () => {
    // Guards against a sample attributed to weights that did not generate it.
    expect((await run(answered(200, 0), [event(1)])).outcome).toBe("unknown provenanceMissing");
});

test("a run resumed after its last event is complete, even if the answer states no weight version", async () => {
    // Guards against a step that stalls for 12 s while one item is sent 250 times a second.
    const { outcome } = await run(answered(200, 0), [], [span(4, "e1\n"), span(5, "e2\n")]);
    expect(outcome).toBe("ran 4:e1 5:e2");
});

test("status 500 counts towards the route's attempt limit, 422 terminates the item, other failures do neither", async () => {
    const shown = await Promise.all(
        [500, 422, 502].map(async status => (await run(answered(status), [])).terminated),
    );
    expect(shown).toEqual([["failedEveryTime"], ["impossible"], []]);
    const refused = await run({ kind: "notRun", code: resultCodes.overloaded, detail: "full" }, []);
    expect([refused.outcome, refused.terminated]).toEqual(["notRun overloaded", []]);
});

test("an answer that breaks the protocol is a failure of its sampler", async () => {
    // Guards against an item that is completed without a text, and one that is sent to the same sampler again and again.
    const malformed = { kind: "unknown", code: resultCodes.answerMalformed, detail: "status 000" } as const;
    const ended = await Promise.all([
        run(malformed, []),
        run(answered(204), []),
        run(answered(200), [event(2)]),
    ]);
    expect(ended.map(({ outcome, isSuspected, isCounted }) => [outcome, isSuspected, isCounted])).toEqual([
        ["unknown answerMalformed", true, true],
        ["unknown answerMalformed", true, true],
        ["unknown answerMixed", true, true],
    ]);
});

test("an answer that goes on beyond what its item asks for ends the run as too long", async () => {
    // Guards against texts and memory that grow for as long as a sampler sends events, or bytes between them.
    const endless = answered(200);
    const reply: SamplerReply = {
        ...endless as Extract<SamplerReply, { kind: "answered"; }>,
        body: (async function*() {
            for (;;) {
                yield Buffer.alloc(1_000);
            }
        })(),
    };
    const outcomes = [
        (await run(answered(200), [event(1), event(2), event(3)])).outcome,
        (await run(answered(200), [event(1), event(2), event(3), event(4)])).outcome,
        (await run(reply, [])).outcome,
    ];
    expect(outcomes).toEqual(["ran 4:e1 4:e2 4:e3", "unknown answerTooLong", "unknown answerTooLong"]);
});
