import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import fc from "fast-check";
import { expect, test } from "vitest";
import type { BatchJob } from "./BatchJob.js";
import type { BatchJobId } from "./BatchJobId.js";
import { createBatchJobStore } from "./createBatchJobStore.js";

const batchJobId = "lot-1" as BatchJobId;
const batchJob = {
    lot: batchJobId,
    items: [{ maxOutputTokens: 10 }, { maxOutputTokens: 10 }],
    policy: undefined,
} as unknown as BatchJob;

const done = { kind: "done" };

function createFixture() {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(3) });
    const calls = (): number => {
        const { read, write } = control.calls();
        return read + write;
    };
    return { control, calls, here: createBatchJobStore(store), elsewhere: createBatchJobStore(store) };
}

test("a gateway ends a batch job that it accepted without reading it, and repeats of either cost no store call", async () => {
    // Guards against reads of cached entries: they were 76 of 1,060 store calls in a day without faults.
    const { calls, here } = createFixture();
    await here.accept(batchJob, 5);
    await here.accept(batchJob, 6);
    const accepted = calls();
    expect([await here.end(batchJobId, undefined), await here.end(batchJobId, undefined)]).toEqual([
        done,
        done,
    ]);
    expect([accepted, calls()]).toEqual([2, 3]);
    expect(await here.readEntry(batchJobId)).toMatchObject({ total: 2, isEnded: true, submittedAtMs: 5 });
});

test("a batch job ended by another gateway is detected before its entry is written again", async () => {
    const { here, elsewhere } = createFixture();
    await here.accept(batchJob, 5);
    expect([await elsewhere.end(batchJobId, undefined), await here.end(batchJobId, undefined)]).toEqual([
        done,
        done,
    ]);
    expect(await elsewhere.end("lot-2" as BatchJobId, undefined)).toEqual({ kind: "absent" });
});

test("an end whose store answer is lost is verified by a read before it is confirmed", async () => {
    // Guards against confirming an end while the batch job continues to run.
    const { control, here, elsewhere } = createFixture();
    await here.accept(batchJob, 5);
    control.setOutage(true);
    expect(await here.end(batchJobId, undefined)).toMatchObject({ kind: "unknown" });
    control.setOutage(false);
    expect((await elsewhere.readEntry(batchJobId))?.isEnded).toBe(false);
    expect(await here.end(batchJobId, undefined)).toEqual(done);
    expect((await elsewhere.readEntry(batchJobId))?.isEnded).toBe(true);
});

test("an acceptance that is refused while a repeat of it succeeds is not reported as refused", async () => {
    // Guards against a 503 for a batch job that runs: the store refuses the first attempt after it has accepted the second.
    const { store } = createFakeObjectStore({ clock: createFakeClock(), random: createRandom(3) });
    let refuse = (): void => {};
    let writes = 0;
    const here = createBatchJobStore({
        ...store,
        write: (...call) =>
            writes++ === 0
                ? new Promise((_resolve, reject) => {
                    refuse = () => reject(new ResultError(resultCodes.storeThrottled));
                })
                : store.write(...call),
    });
    const first = here.accept(batchJob, 5);
    expect(await here.accept(batchJob, 6)).toEqual(done);
    refuse();
    expect(await first).toEqual(done);
});

test("an end that is refused while an earlier one is unresolved is unknown", async () => {
    // Guards against an end that is answered "not run" at the repeat and takes effect by the first attempt.
    for (const repeat of ["refusedRead", "refusedWrite"] as const) {
        const fates: Fate[] = ["served", "served", "answerLost"];
        const { control, here } = createFixtureWithFates(
            repeat === "refusedRead" ? fates : ["served", "served", "lost", "served", "refused"],
        );
        await here.accept(batchJob, 5);
        expect(await here.end(batchJobId, undefined)).toMatchObject({ kind: "unknown" });
        expect(await here.end(batchJobId, undefined)).toMatchObject({ kind: "unknown" });
        expect(control.keys()).toContain("lots/lot-1");
    }
});

test("an interrupted deletion is completed by the next one", async () => {
    // Guards against result chunks that stay for good, and that a batch job submitted later under the same id adopts.
    const { store, control } = createFakeObjectStore({ clock: createFakeClock(), random: createRandom(3) });
    let removalsLeft = 2;
    const here = createBatchJobStore({
        ...store,
        remove: (...call) => {
            if (removalsLeft-- === 0) {
                return Promise.reject(new ResultError(resultCodes.storeUnavailable));
            }
            return store.remove(...call);
        },
    });
    await here.accept(batchJob, 5);
    for (const number of [0, 1, 2, 3]) {
        await here.appendChunk(batchJobId, number, { from: number, results: [], writer: `w${number}` });
    }
    await expect(here.remove(batchJobId)).rejects.toMatchObject({ code: resultCodes.storeUnavailable });
    await here.remove(batchJobId);
    expect(control.keys()).toEqual([]);
});

type Fate = "served" | "refused" | "answerLost" | "lost";

/** A store whose calls meet the given fates in order; later calls are refused. */
function createFixtureWithFates(fates: Fate[]) {
    const { store, control } = createFakeObjectStore({ clock: createFakeClock(), random: createRandom(3) });
    const left = [...fates];
    async function suffer<T>(call: () => Promise<T>): Promise<T> {
        const fate = left.shift() ?? "refused";
        if (fate === "refused") {
            throw new ResultError(resultCodes.storeThrottled);
        }
        const answer = fate === "lost" ? undefined : await call();
        if (fate !== "served") {
            throw new ResultError(resultCodes.storeUnavailable);
        }
        return answer!;
    }
    const faulty: ObjectStore = {
        ...store,
        read: key => suffer(() => store.read(key)),
        write: (...call) => suffer(() => store.write(...call)),
    };
    return { control, here: createBatchJobStore(faulty) };
}

test("a refused read leaves the outcome of an acceptance unknown, and so does a refused repeat", async () => {
    // Guards against a batch job that is answered 503 at every attempt and runs.
    const { control, here } = createFixtureWithFates([
        "served",
        "answerLost",
        "refused",
        "served",
        "refused",
    ]);
    expect(await here.accept(batchJob, 5)).toMatchObject({ kind: "unknown" });
    expect(control.keys()).toContain("lots/lot-1");
    expect(await here.accept(batchJob, 6)).toMatchObject({ kind: "unknown" });
});

test("an unknown acceptance says why it could not be settled by a read", async () => {
    // Guards against logs that do not tell a read-back that failed from one that found nothing.
    const refused = createFixtureWithFates(["served", "answerLost", "refused"]);
    expect(await refused.here.accept(batchJob, 5)).toMatchObject({
        error: { code: resultCodes.storeUnavailable },
        readBackError: { code: resultCodes.storeThrottled },
    });
    const foundNothing = createFixtureWithFates(["served", "lost", "served"]);
    expect(await foundNothing.here.accept(batchJob, 5)).not.toHaveProperty("readBackError");
});

test("a refused read leaves the outcome of an end unknown", async () => {
    // Guards against an end that is answered "not run" and takes effect.
    const { here } = createFixtureWithFates(["served", "served", "answerLost", "refused"]);
    await here.accept(batchJob, 5);
    expect(await here.end(batchJobId, undefined)).toMatchObject({ kind: "unknown" });
});

test("whatever becomes of the calls, a refused batch job is not in the store and an accepted one is", async () => {
    const fate = fc.constantFrom<Fate>("served", "refused", "answerLost", "lost");
    await fc.assert(fc.asyncProperty(fc.array(fate, { maxLength: 8 }), async fates => {
        const { control, here } = createFixtureWithFates(fates);
        for (let attempt = 0; attempt < 3; attempt++) {
            const { kind } = await here.accept(batchJob, 5);
            const isStored = control.peek("lots/lot-1") !== undefined;
            expect([kind === "refused" && isStored, kind === "done" && !isStored]).toEqual([false, false]);
        }
    }));
});
