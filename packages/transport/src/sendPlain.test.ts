import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createLogger } from "@auburnarch/log/createLogger";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { expect, test } from "vitest";
import { createRetryBudget } from "./createRetryBudget.js";
import { sendPlain } from "./sendPlain.js";

type Outcome = AttemptOutcome<PlainAnswer>;

const neverAborted = new AbortController().signal;
const notRun: Outcome = { kind: "notRun", code: resultCodes.overloaded, retryAfterMs: undefined };
const unknown: Outcome = { kind: "unknown", code: resultCodes.connectionBroken };
const ran: Outcome = { kind: "ran", answer: { status: 200, headers: {}, body: (async function*() {})() } };

const request = (idempotent: boolean): Omit<PlainRequest, "attempt"> => ({
    service: "tiles" as PlainRequest["service"],
    team: "team" as PlainRequest["team"],
    method: "GET",
    path: "/tile",
    headers: {},
    body: new Uint8Array(0),
    idempotent,
    digest: "d" as PlainRequest["digest"],
    budgetMs: 1_000,
});

/** Sends to samplers that return `outcomes` in turn; returns the caller's outcome and the number of attempts. */
async function send(outcomes: Outcome[], idempotent: boolean, retries = 20): Promise<string> {
    const clock = createFakeClock();
    const budget = createRetryBudget({ clock, ratio: () => 0 });
    for (let spent = retries; spent < 20; spent++) {
        budget.tryTake();
    }
    let next = 0;
    const sidecar = { callPlain: async () => outcomes[next++]! } as unknown as SidecarPort;
    const sent = await sendPlain(request(idempotent), {
        pick: tried => tried.length < outcomes.length ? `s${tried.length}` as SamplerId : undefined,
        sidecar: () => sidecar,
        newAttempt: () => `a${next}` as AttemptId,
        retryBudget: budget,
        maxAttempts: 3,
        clock,
        logger: createLogger(clock, () => {}),
    }, neverAborted);
    const { outcome } = sent;
    return `${outcome.kind} ${outcome.kind === "ran" ? "" : outcome.code.name} tries=${sent.tried.length}`;
}

test("an attempt that did not run is retried elsewhere; one that may have run only if it is idempotent", async () => {
    expect({
        refusedThenRan: await send([notRun, ran], false),
        unknownOnce: await send([unknown, ran], false),
        unknownIdempotent: await send([unknown, ran], true),
        quarantined: await send([{ ...notRun, code: resultCodes.quarantined }, ran], true),
        allRefused: await send([notRun, notRun, notRun, ran], true),
        unknownThenRefused: await send([unknown, notRun], true),
        budgetSpent: await send([notRun, ran], true, 0),
        nobody: await send([], true),
    }).toMatchInlineSnapshot(`
      {
        "allRefused": "notRun overloaded tries=3",
        "budgetSpent": "notRun overloaded tries=1",
        "nobody": "notRun noSampler tries=0",
        "quarantined": "notRun quarantined tries=1",
        "refusedThenRan": "ran  tries=2",
        "unknownIdempotent": "ran  tries=2",
        "unknownOnce": "unknown connectionBroken tries=1",
        "unknownThenRefused": "unknown connectionBroken tries=2",
      }
    `);
});

test("retries are limited to a ratio of the first attempts, plus a small rate over time", async () => {
    const clock = createFakeClock();
    const budget = createRetryBudget({ clock, ratio: () => 0.1 });
    let retries = 0;
    for (let first = 0; first < 1_000; first++) {
        budget.recordFirstAttempt();
        retries += budget.tryTake() ? 1 : 0;
    }
    expect(retries).toBeLessThanOrEqual(20 + 100);
    await clock.advance(5_000);
    expect(budget.remaining()).toBe(5);
});
