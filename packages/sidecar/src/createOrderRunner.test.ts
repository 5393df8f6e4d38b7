import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { expect, test } from "vitest";
import { createSidecarFixture } from "./testing/createSidecarFixture.js";

type SidecarFixture = ReturnType<typeof createSidecarFixture>;

const never = new AbortController().signal;

async function createReadySidecar(
    options: Parameters<typeof createSidecarFixture>[0] = {},
): Promise<SidecarFixture> {
    const setup = createSidecarFixture(options);
    await setup.clock.advance(1);
    return setup;
}

async function finished<T>(setup: SidecarFixture, promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => {
        done = true;
    });
    await setup.clock.runUntil(() => done, 200_000);
    return promise;
}

async function order(setup: SidecarFixture, given: SamplerOrder): Promise<string> {
    const result: SamplerOrderResult = await finished(setup, setup.sidecar.order(given));
    return result.kind === "done" ? "done" : `${result.kind} ${result.code.name}`;
}

const run = (setup: SidecarFixture, attempt: SampleAttempt): Promise<AttemptOutcome<SampleAnswer>> =>
    setup.sidecar.runSample(attempt, () => {}, never);

const versions = (outcome: AttemptOutcome<SampleAnswer>): string =>
    outcome.kind === "ran"
        ? outcome.answer.spans.map(span => span.version).join(",")
        : `${outcome.kind} ${outcome.code.name}`;

test("a sample that spans a swap names both versions", async () => {
    const setup = await createReadySidecar();
    const first = await finished(setup, run(setup, setup.attempt("warm", { maxTokens: 8 })));
    expect(versions(first)).toBe("1");
    const sample = run(setup, setup.attempt("a"));
    await setup.clock.advance(300);
    const swap = order(setup, setup.load(2, 5));
    expect(versions(await finished(setup, sample))).toBe("1,2");
    expect(await swap).toBe("done");
    expect(setup.sidecar.report().served).toEqual([{ policy: "plume", version: 2 }]);
});

test("an engine that does not stamp its chunks is drained before a swap", async () => {
    // Guards against tokens of two versions that are attributed to one.
    const setup = await createReadySidecar({ engine: { statesFingerprint: false } });
    const sample = run(setup, setup.attempt("a"));
    await setup.clock.advance(200);
    const swap = order(setup, setup.load(2, 5));
    await setup.clock.advance(100);
    const waiting = run(setup, setup.attempt("b"));
    expect(versions(await finished(setup, sample))).toBe("1");
    expect(await swap).toBe("done");
    expect(versions(await finished(setup, waiting))).toBe("2");
});

test("after a swap that fails half way, no sample starts until the engine has reported what it serves", async () => {
    // Guards against samples from weights that were not ordered.
    const setup = await createReadySidecar();
    setup.control.failNextLoad(7 as WeightVersion);
    expect(await order(setup, setup.load(2, 5))).toBe("unknown engineUnreachable");
    await setup.clock.advance(1_500);
    expect(setup.sidecar.report()).toMatchObject({ state: "ready", served: [{ version: 7 }] });
    expect(setup.lines.some(line => line.includes("to=unknownVersion reason=swapUncertain"))).toBe(true);
    expect(versions(await finished(setup, run(setup, setup.attempt("a"))))).toBe("7");
});

test("samples with a newer minimum version are refused within one heartbeat of a restart with old weights", async () => {
    // Guards against a trainer that learns from outdated policy versions for weeks.
    const setup = await createReadySidecar();
    expect(await order(setup, setup.load(3, 5))).toBe("done");
    setup.control.crash();
    setup.control.restart([{ policy: "plume" as PolicyId, version: 1 as WeightVersion }]);
    await setup.clock.advance(1_000);
    expect(setup.sidecar.report().served).toEqual([{ policy: "plume", version: 1 }]);
    expect(setup.lines.filter(line => line.includes("servedVersionCorrected"))).toHaveLength(1);
    const refused = await finished(setup, run(setup, setup.attempt("a", { minVersion: 2 })));
    expect(versions(refused)).toBe("notRun staleWeights");
});

test.each([true, false])(
    "weights swapped without an order are never attributed to another version (stamped %s)",
    async stamped => {
        const setup = await createReadySidecar({ engine: { statesFingerprint: stamped } });
        const sample = run(setup, setup.attempt("a"));
        await setup.clock.advance(250);
        setup.control.setServedVersion("plume" as PolicyId, 9 as WeightVersion);
        const outcome = versions(await finished(setup, sample));
        expect(outcome).toBe(stamped ? "1,9" : "unknown incarnationChanged");
        expect(setup.sidecar.report().served).toEqual([{ policy: "plume", version: 9 }]);
    },
);

test("orders of a replaced owner are refused", async () => {
    // Guards against a sampler that returns to old weights.
    const setup = await createReadySidecar({ engine: { honoursFencing: false } });
    expect(await order(setup, setup.load(2, 6))).toBe("done");
    expect(await order(setup, setup.load(3, 5))).toBe("refused fenced");
    expect(await order(setup, setup.load(1, 6))).toBe("refused staleWeights");
    expect(setup.control.loads().map(load => load.version)).toEqual([2]);
});

test("a sidecar that has just started refuses orders until it has read the job's fencing number", async () => {
    // Guards against a new sidecar that executes an order of a replaced owner.
    let storeUp = false;
    const setup = await createReadySidecar({
        readFencing: async () => {
            if (!storeUp) {
                throw new ResultError(resultCodes.storeUnavailable);
            }
            return 6;
        },
    });
    expect(await order(setup, setup.load(2, 5))).toBe("refused storeUnavailable");
    storeUp = true;
    expect(await order(setup, setup.load(2, 5))).toBe("refused fenced");
    expect(await order(setup, setup.load(2, 6))).toBe("done");
    // The sidecar reads the number once; a later outage of the object API has no effect.
    storeUp = false;
    expect(await order(setup, setup.load(3, 6))).toBe("done");
});

test("the fencing number of an order refused as too early is recorded", async () => {
    // Guards against a sidecar that has just started and executes an order of a replaced owner, because the order of
    // the current owner came too early and the object API then returned an older number.
    let storeUp = false;
    const setup = await createReadySidecar({
        readFencing: async () => {
            if (!storeUp) {
                throw new ResultError(resultCodes.storeUnavailable);
            }
            return 2;
        },
    });
    expect(await order(setup, setup.load(2, 60))).toBe("refused storeUnavailable");
    storeUp = true;
    expect(await order(setup, setup.load(2, 2))).toBe("refused fenced");
    expect(await order(setup, setup.load(2, 60))).toBe("done");
});
