import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createOpenGuard } from "@auburnarch/forwarding/createOpenGuard";
import type { SamplerReply } from "@auburnarch/forwarding/SamplerReply";
import { createTestForwarder } from "@auburnarch/forwarding/testing/createTestForwarder";
import { createTestRoute } from "@auburnarch/forwarding/testing/createTestRoute";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test } from "vitest";
import { createScoreItem } from "./createScoreItem.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const call = { requestId: "reward", host: "scores.example", path: "/", bodyBase64: "" };
/** A step is due this long after it was requested. */
const stepDueMs = 7_500;

async function* emptyBody(): AsyncGenerator<Uint8Array> {
    // Only the signature of a reward answer is used.
}

const answered = (status: number): SamplerReply => ({
    kind: "answered",
    status,
    headers: {},
    body: emptyBody(),
    signature: "proof",
    weightVersion: undefined,
});
const full: SamplerReply = { kind: "notRun", code: resultCodes.overloaded, detail: "full" };
const reset: SamplerReply = { kind: "unknown", code: resultCodes.connectionBroken, detail: "reset" };

interface SimulatedReply {
    afterMs: number;
    reply: SamplerReply;
    /** Whether the sampler is replaced by one with another start. */
    isCrash?: boolean;
}

/** Scores one item at six samplers that reply to their nth attempt as told, and reports how long that took. */
async function score(replyOf: (attempt: number) => SimulatedReply) {
    const clock = createFakeClock();
    let attempts = 0;
    const samplers = ["a", "b", "c", "d", "e", "f"].map(name => createTestSampler(name));
    const forwardRequest = createTestForwarder({
        callSampler: async ({ sampler }, signal) => {
            const { afterMs, reply, isCrash = false } = replyOf(attempts++);
            await clock.sleep(afterMs, signal);
            if (isCrash) {
                samplers[samplers.indexOf(sampler)] = createTestSampler(`${sampler.instance}'`);
            }
            return signal.aborted ? reset : reply;
        },
        clock,
        samplers,
        createGuard: createOpenGuard,
    });
    const route = { ...createTestRoute("idempotent", { maxAttempts: 4, timeoutMs: 1_000 }), host: call.host };
    const routing = (): RoutingTable => ({ routes: [route] } as unknown as RoutingTable);
    const scoreItem = createScoreItem({ forwardRequest, routing, clock, logger: silent });
    const stop = new AbortController();
    const done: { kind?: string; atMs?: number; } = {};
    void scoreItem(call, {}, 3, stop.signal).then(scored =>
        Object.assign(done, { kind: scored?.kind, atMs: clock.monotonicMs() })
    );
    await clock.advance(stepDueMs);
    stop.abort();
    await clock.advance(1);
    return { ...done, attempts };
}

// Guards against a step that is never whole: 500 answers of a call that ran out of time did not count as failures.
test("a reward call that every sampler fails slowly is given up after its maximum of attempts", async () => {
    expect(await score(() => ({ afterMs: 450, reply: answered(500) }))).toMatchInlineSnapshot(`
      {
        "atMs": 1300,
        "attempts": 4,
        "kind": "failed",
      }
    `);
});

// Guards against a step that is never whole: a call that takes longer than its time limit was cut off each time.
test("a reward call that takes a second and a half is scored", async () => {
    expect(await score(() => ({ afterMs: 1_500, reply: answered(200) }))).toMatchInlineSnapshot(`
      {
        "atMs": 1500,
        "attempts": 4,
        "kind": "scored",
      }
    `);
});

// Guards against terminated items: only an answer 500 says that the scoring service cannot score the item.
test("refusals of full samplers do not count as failures of a reward call", async () => {
    const outcome = await score(attempt => ({ afterMs: 10, reply: attempt < 9 ? full : answered(200) }));
    expect(outcome).toMatchInlineSnapshot(`
      {
        "atMs": 250,
        "attempts": 10,
        "kind": "scored",
      }
    `);
});

test("a reward call under which samplers crashed in a burst is scored within a second of the calm", async () => {
    // Guards against a score that is withheld for minutes, as an answer to a request that may crash what runs it.
    const crashes = 9;
    const scored = await score(attempt =>
        attempt < crashes
            ? { afterMs: 300, reply: reset, isCrash: true }
            : { afterMs: 30, reply: answered(200) }
    );
    expect(scored).toMatchObject({ kind: "scored" });
    expect(scored.atMs).toBeLessThan(crashes * 300 + 1_000);
});
