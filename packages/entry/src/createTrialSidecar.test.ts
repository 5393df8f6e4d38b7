import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TrialId } from "@auburnarch/types/TrialId";
import { expect, test } from "vitest";
import { createTrialSidecar } from "./createTrialSidecar.js";

type Outcome = AttemptOutcome<PlainAnswer>;

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const digest = "content" as ContentDigest;
const ran = { kind: "ran", answer: { status: 200 } } as unknown as Outcome;
const overloaded: Outcome = { kind: "notRun", code: resultCodes.overloaded, retryAfterMs: undefined };
const crashed: Outcome = { kind: "unknown", code: resultCodes.engineCrashed };
const quarantined: Outcome = { kind: "notRun", code: resultCodes.quarantined, retryAfterMs: undefined };

/** A sidecar that answers one request after the other as given; a content has one trial. */
function createFixture(isRefused: boolean, ...outcomes: Outcome[]) {
    const sent: unknown[] = [];
    const counted: string[] = [];
    let trial: TrialId | undefined = "t1" as TrialId;
    const port = {
        callPlain: async (request: PlainRequest) => {
            sent.push("isTrial" in request ? request.isTrial : "plain");
            return outcomes.shift()!;
        },
    } as unknown as SidecarPort;
    const wrapped = createTrialSidecar(port, {
        quarantine: {
            isRefused: () => isRefused,
            takeTrial: async () => {
                const taken = trial;
                trial = undefined;
                return taken;
            },
            returnTrial: (_digest, returned) => {
                trial = returned;
            },
            trialDueInMs: () => 7_000,
        },
        logger: silent,
        metrics: { count: (name: string) => counted.push(name) } as unknown as Metrics,
    });
    const call = (): Promise<Outcome> =>
        wrapped.callPlain({ digest } as PlainRequest, new AbortController().signal);
    return { call, sent, counted };
}

test("a content that is not refused passes as it is; a refusal of the sidecar's tells when to come back", async () => {
    const { call, sent } = createFixture(false, ran, quarantined);
    expect(await call()).toBe(ran);
    expect(await call()).toEqual({ ...quarantined, retryAfterMs: 7_000 });
    expect(sent).toEqual(["plain", "plain"]);
});

test("a refused content has one trial, and what comes beside or after it is told when to come back", async () => {
    const { call, sent, counted } = createFixture(true, crashed);
    expect(await Promise.all([call(), call()])).toEqual([crashed, { ...quarantined, retryAfterMs: 7_000 }]);
    expect(await call()).toEqual({ ...quarantined, retryAfterMs: 7_000 });
    expect(sent).toEqual([true]);
    expect(counted).toEqual(["content_trials_total"]);
});

test("a trial that a busy sampler refused is had at the next", async () => {
    // Guards against: an innocent content waits an hour though nothing ran.
    const { call, sent } = createFixture(true, overloaded, ran);
    expect(await call()).toBe(overloaded);
    expect(await call()).toBe(ran);
    expect(sent).toEqual([true, true]);
});
