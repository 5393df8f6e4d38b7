import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test } from "vitest";
import type { ContentTrials } from "./ContentTrials.js";
import { createBreakRegistry } from "./createBreakRegistry.js";
import { createContentTrials } from "./createContentTrials.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const content = "c" as ContentDigest;
const limitMs = 2_000;
const sampler = (at: number): IncarnationId => `s${at}` as IncarnationId;

function createFixture() {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(1), latencyMs: 4 });
    const createProcess = (seed: number) => {
        const breaks = createBreakRegistry(clock);
        const trials = createContentTrials({
            store,
            breaks,
            clock,
            random: createRandom(seed),
            logger: silent,
        });
        return { breaks, trials };
    };
    async function settle<T>(running: Promise<T>, ms = 50): Promise<T> {
        const [result] = await Promise.all([running, clock.advance(ms)]);
        return result;
    }
    const take = (trials: ContentTrials, ms?: number) => settle(trials.take(content, limitMs), ms);
    const [a, b, c] = [1, 2, 3].map(createProcess);
    return { clock, store, control, settle, take, createProcess, a: a!, b: b!, c: c! };
}

function grantedOf(decision: Awaited<ReturnType<ContentTrials["take"]>>) {
    if (decision.kind !== "granted") {
        throw new Error("not granted");
    }
    return decision.trial;
}

test("of several processes that ask at once, one gets the trial", async () => {
    // Guards against several processes that try a content at the moment its pause ends.
    const { settle, a, b, c } = createFixture();
    const decisions = await settle(Promise.all([a, b, c].map(({ trials }) => trials.take(content, limitMs))));
    expect(decisions.map(({ kind }) => kind).sort()).toEqual(["granted", "paused", "paused"]);
});

test("a process that exchanges no reports learns the breaks, and a trial that did not end, from the store", async () => {
    // Guards against a gateway that is cut off from all runners, and against one that is killed during a trial.
    const { clock, take, a, b } = createFixture();
    [0, 1].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    b.breaks.recordBreak(content, sampler(2));
    await take(a.trials);
    const underWay = await take(b.trials);
    expect([underWay.kind, b.breaks.countBreaks(content)]).toEqual(["paused", 3]);
    await clock.advance(9_000);
    expect((await take(b.trials)).kind).toBe("paused");
    await clock.advance(2_000);
    expect((await take(b.trials)).kind).toBe("granted");
});

test("a trial whose break is reported is followed by the pause of that break", async () => {
    const { clock, take, a, b } = createFixture();
    [0, 1, 2].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    b.breaks.merge(a.breaks.listReports(), "a");
    await clock.advance(1_000);
    const trial = grantedOf(await take(a.trials));
    a.breaks.recordBreak(content, sampler(3));
    trial.end("unknown");
    b.breaks.merge(a.breaks.listReports(), "a");
    expect([Math.round(a.breaks.pauseMs(content) / 1_000), b.breaks.pauseMs(content)]).toEqual([
        10,
        a.breaks.pauseMs(content),
    ]);
    await clock.advance(10_000);
    expect((await take(b.trials)).kind).toBe("granted");
});

test("a completed trial leaves nothing, and one that was not run remains with its process for a second", async () => {
    const { clock, store, settle, take, a, b } = createFixture();
    grantedOf(await take(a.trials)).end("notRun");
    expect((await take(b.trials)).kind).toBe("paused");
    grantedOf(await take(a.trials)).end("notRun");
    await clock.advance(1_500);
    const trial = grantedOf(await take(b.trials));
    trial.end("completed");
    await clock.advance(50);
    expect((await settle(store.list("content-trials/"))).objects).toEqual([]);
});

test("while the store does not answer, each process decides by what it knows, one attempt at a time", async () => {
    // Guards against harmless contents that are refused for the whole outage.
    const { control, take, a } = createFixture();
    control.setOutage(true);
    const trial = grantedOf(await take(a.trials, 600));
    expect((await take(a.trials)).kind).toBe("paused");
    trial.end("unknown");
    expect((await take(a.trials, 600)).kind).toBe("granted");
});

test("a process that starts learns what earlier ones knew, and removes records that are old", async () => {
    // Guards against evidence that is lost when all processes are killed at once.
    const { clock, store, settle, take, createProcess, a } = createFixture();
    [0, 1, 2].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    await clock.advance(1_000);
    await take(a.trials);
    const later = createProcess(4);
    expect([await settle(later.trials.restore()), later.breaks.countBreaks(content)]).toEqual([1, 3]);
    await clock.advance(3_700_000);
    await settle(createProcess(5).trials.restore());
    expect((await settle(store.list("content-trials/"))).objects).toEqual([]);
});

test("the record of a content that is cleared without a trial is removed, and its completion is stored", async () => {
    // Guards against harmless contents that are refused for long after all processes were restarted.
    const { clock, store, settle, take, createProcess, a } = createFixture();
    [0, 1, 2].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    await clock.advance(10);
    a.breaks.recordCompletion(content);
    await clock.advance(10);
    [3, 4].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    grantedOf(await take(a.trials)).end("unknown");
    const later = createProcess(4);
    await settle(later.trials.restore());
    expect(later.breaks.countBreaks(content)).toBe(2);
    a.breaks.recordCompletion(content);
    await clock.advance(2_100);
    expect((await settle(store.list("content-trials/"))).objects).toEqual([]);
});

test("a content is stored before its first trial, so that it is known after all processes were killed", async () => {
    // Guards against evidence that is lost when all processes are killed right after the first crashes.
    const { clock, store, settle, createProcess, a } = createFixture();
    [0, 1].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    a.trials.storeBreaks(content);
    a.trials.storeBreaks(content);
    await clock.advance(20);
    const later = createProcess(4);
    await settle(later.trials.restore());
    expect(later.breaks.countBreaks(content)).toBe(2);
    Array.from({ length: 20 }, (_, at) => a.trials.storeBreaks(`other ${at}` as ContentDigest));
    await clock.advance(50);
    expect((await settle(store.list("content-trials/"))).objects.length).toBe(8);
});

test("what is known reaches the store although it answers too late for a trial", async () => {
    // Guards against gateways that know nothing when they start, because every trial was granted without the store.
    const { clock, control, take, createProcess, a } = createFixture();
    control.setSlow(600);
    [0, 1].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    a.trials.storeBreaks(content);
    const trial = grantedOf(await take(a.trials, 550));
    a.breaks.recordBreak(content, sampler(2));
    trial.end("unknown");
    await clock.advance(3_000);
    const later = createProcess(4);
    const [contents] = await Promise.all([later.trials.restore(), clock.advance(1_000)]);
    expect([contents, later.breaks.countBreaks(content)]).toEqual([1, 2]);
});

test("breaks that follow the first record are added to it, whichever process saw them", async () => {
    // Guards against processes that start with the first two breaks of a content and each try it once more.
    const { clock, settle, createProcess, a, b } = createFixture();
    const knownAtStart = async (seed: number): Promise<number> => {
        const later = createProcess(seed);
        await settle(later.trials.restore());
        return later.breaks.countBreaks(content);
    };
    [0, 1].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    a.trials.storeBreaks(content);
    await clock.advance(50);
    [2, 3].forEach(at => b.breaks.recordBreak(content, sampler(at)));
    b.trials.storeBreaks(content);
    await clock.advance(50);
    const afterOther = await knownAtStart(4);
    a.breaks.recordBreak(content, sampler(4));
    a.trials.storeBreaks(content);
    a.breaks.recordBreak(content, sampler(5));
    a.trials.storeBreaks(content);
    await clock.advance(50);
    expect([afterOther, await knownAtStart(5)]).toEqual([4, 6]);
});

test("a trial whose break is stored is followed by the pause of that break at a process that starts", async () => {
    // Guards against a trial that counts twice, by its break and as one that did not end.
    const { clock, settle, take, createProcess, a } = createFixture();
    [0, 1, 2].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    await clock.advance(1_000);
    const trial = grantedOf(await take(a.trials));
    a.breaks.recordBreak(content, sampler(3));
    a.trials.storeBreaks(content);
    trial.end("unknown");
    await clock.advance(50);
    const later = createProcess(4);
    await settle(later.trials.restore());
    expect([later.breaks.countBreaks(content), (await take(later.trials)).kind]).toEqual([4, "paused"]);
    await clock.advance(10_000);
    expect((await take(later.trials)).kind).toBe("granted");
});

/** Lets another process add a break from before the trial to the record. */
async function extendRecord(
    { clock, b }: Pick<ReturnType<typeof createFixture>, "clock" | "b">,
    at: number,
): Promise<void> {
    b.breaks.recordBreak(content, sampler(at), 5_000);
    b.trials.storeBreaks(content);
    await clock.advance(50);
}

test("a trial that was not run is released although another process has extended the record", async () => {
    // Guards against a trial that counts as one that did not end, because its process no longer finds its record.
    const { clock, store, settle, take, a, b } = createFixture();
    [0, 1].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    const trial = grantedOf(await take(a.trials));
    await extendRecord({ clock, b }, 2);
    trial.end("notRun");
    await clock.advance(2_500);
    const [record] = (await settle(store.list("content-trials/"))).objects;
    expect(record?.value).not.toHaveProperty("trial");
});

test("a completed trial removes the record although another process has extended it", async () => {
    // Guards against harmless contents that stay refused after all processes were restarted.
    const { clock, store, settle, take, a, b } = createFixture();
    [0, 1].forEach(at => a.breaks.recordBreak(content, sampler(at)));
    const trial = grantedOf(await take(a.trials));
    await extendRecord({ clock, b }, 2);
    a.breaks.recordCompletion(content);
    trial.end("completed");
    await clock.advance(2_500);
    expect((await settle(store.list("content-trials/"))).objects).toEqual([]);
});
