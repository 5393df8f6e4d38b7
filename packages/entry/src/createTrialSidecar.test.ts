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

/** Wraps a sidecar that answers requests with the given outcomes in order; the content has a single trial. */
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

test("content that is not quarantined passes unchanged, and a refusal by the sidecar gets a retry time", async () => {
    const { call, sent } = createFixture(false, ran, quarantined);
    expect(await call()).toBe(ran);
    expect(await call()).toEqual({ ...quarantined, retryAfterMs: 7_000 });
    expect(sent).toEqual(["plain", "plain"]);
});

test("quarantined content gets one trial, and concurrent or later requests get a retry time", async () => {
    const { call, sent, counted } = createFixture(true, crashed);
    expect(await Promise.all([call(), call()])).toEqual([crashed, { ...quarantined, retryAfterMs: 7_000 }]);
    expect(await call()).toEqual({ ...quarantined, retryAfterMs: 7_000 });
    expect(sent).toEqual([true]);
    expect(counted).toEqual(["content_trials_total"]);
});

test("a trial that a busy sampler refuses is available for the next attempt", async () => {
    // Guards against harmless content waiting an hour for the next trial although nothing has run.
    const { call, sent } = createFixture(true, overloaded, ran);
    expect(await call()).toBe(overloaded);
    expect(await call()).toBe(ran);
    expect(sent).toEqual([true, true]);
});
