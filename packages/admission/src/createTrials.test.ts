import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { TrialId } from "@auburnarch/types/TrialId";
import type { VmId } from "@auburnarch/types/VmId";
import { expect, test } from "vitest";
import { createQuarantine } from "./createQuarantine.js";
import type { Quarantine } from "./Quarantine.js";

const hourMs = 3_600_000;
const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const digestOf = (name: string): ContentDigest => name as ContentDigest;
const harmlessContent = digestOf("innocent");

function createFixture(entryCount: number) {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(1) });
    const entries = Array.from(
        { length: entryCount },
        (_, seed) => createQuarantine({ store, clock, random: createRandom(seed + 2), logger: silent }),
    );
    let boots = 0;

    /** Crashes an engine with these contents in flight; every entry receives the sampler's report of it. */
    function crashEngine(vm: string, ...names: ContentDigest[]): void {
        const crash = { vm: vm as VmId, bootId: `boot-${boots++}`, contents: names.length };
        const suspects = names.map(digest => ({ digest, deaths: [crash] }));
        entries.forEach(entry => entry.recordSuspects({ suspects }));
    }

    /** Distributes the stored list to all entries. */
    function distribute(): void {
        const document = { version: control.revision(), value: control.peek("quarantine") };
        entries.forEach(entry => entry.offer(document));
    }

    return { clock, control, entries, crashEngine, distribute };
}

const dueOf = (entry: Quarantine, digest: ContentDigest): [number, number] => [
    entry.trialDueInMs(digest, "sample"),
    entry.trialDueInMs(digest, "request"),
];

test("a refused content never alone at a crash gets a trial, and its clean finish clears it everywhere", async () => {
    // Guards against a step that never ends.
    const { clock, entries: [first, second], crashEngine, distribute } = createFixture(2);
    crashEngine("vm-1", harmlessContent, digestOf("killer"));
    crashEngine("vm-2", harmlessContent, digestOf("other"));
    crashEngine("vm-3", harmlessContent, digestOf("third"));
    expect(first!.isRefused(harmlessContent)).toBe(true);
    expect(dueOf(first!, harmlessContent)).toEqual([5_000, 5_000]);
    expect(await first!.takeTrial(harmlessContent, "sample")).toBeUndefined();
    await clock.advance(5_000);
    expect(await first!.takeTrial(harmlessContent, "sample")).toBeDefined();
    distribute();
    // One trial in total, not one per entry.
    expect(await second!.takeTrial(harmlessContent, "sample")).toBeUndefined();
    await clock.advance(200);
    first!.recordCleanFinish(harmlessContent);
    await first!.publish();
    distribute();
    expect([first!, second!].map(entry => entry.isRefused(harmlessContent))).toEqual([false, false]);
});

test("a content that is cleared later still counts as in flight at its earlier crashes", async () => {
    // Guards against a harmless content that counts as confirmed crash-inducing.
    const { clock, entries: [entry], crashEngine } = createFixture(1);
    crashEngine("vm-1", harmlessContent, digestOf("beside"));
    crashEngine("vm-2", harmlessContent, digestOf("beside too"));
    entry!.recordCleanFinish(digestOf("beside"));
    entry!.recordCleanFinish(digestOf("beside too"));
    await clock.advance(5_000);
    expect(dueOf(entry!, harmlessContent)).toEqual([0, 0]);
});

test("a content that was alone at two crashes waits a minute for a sample and an hour for a request", () => {
    const { entries: [entry], crashEngine } = createFixture(1);
    crashEngine("vm-1", harmlessContent);
    crashEngine("vm-2", harmlessContent);
    expect(dueOf(entry!, harmlessContent)).toEqual([60_000, hourMs]);
});

test("entries that request a trial concurrently get one trial together", async () => {
    const { clock, entries, crashEngine } = createFixture(4);
    crashEngine("vm-1", harmlessContent, digestOf("a"));
    crashEngine("vm-2", harmlessContent, digestOf("b"));
    await clock.advance(5_000);
    const taken = await Promise.all(entries.map(entry => entry.takeTrial(harmlessContent, "sample")));
    expect(taken.filter(trial => trial !== undefined)).toHaveLength(1);
});

test("a trial that did not run goes to the next request", async () => {
    const { clock, entries: [entry], crashEngine } = createFixture(1);
    crashEngine("vm-1", harmlessContent, digestOf("a"));
    crashEngine("vm-2", harmlessContent, digestOf("b"));
    await clock.advance(5_000);
    const trial = await entry!.takeTrial(harmlessContent, "request");
    entry!.returnTrial(harmlessContent, trial!);
    expect(dueOf(entry!, harmlessContent)).toEqual([0, 0]);
    expect(await entry!.takeTrial(harmlessContent, "request")).toBe(trial);
    expect(await entry!.takeTrial(harmlessContent, "request")).toBeUndefined();
});

test("a trial is granted and counted once after an outage of the object API and a lost answer to the write", async () => {
    // Guards against a harmless content that waits an hour for its trial.
    const { clock, control, entries: [entry], crashEngine } = createFixture(1);
    crashEngine("vm-1", harmlessContent, digestOf("a"));
    crashEngine("vm-2", harmlessContent, digestOf("b"));
    await clock.advance(5_000);
    control.setOutage(true);
    expect(await entry!.takeTrial(harmlessContent, "sample")).toBeUndefined();
    control.setOutage(false);
    control.loseAnswers(1);
    expect(await entry!.takeTrial(harmlessContent, "sample")).toBeUndefined();
    expect(await entry!.takeTrial(harmlessContent, "sample")).toBeDefined();
    expect(entry!.list().flatMap(record => record.trials ?? [])).toHaveLength(1);
});

test("a trial with unknown outcome is repeated after a minute", async () => {
    // Guards against a step that never ends.
    const { clock, entries: [entry], crashEngine } = createFixture(1);
    crashEngine("vm-1", harmlessContent, digestOf("a"));
    crashEngine("vm-2", harmlessContent, digestOf("b"));
    await clock.advance(5_000);
    expect(await entry!.takeTrial(harmlessContent, "sample")).toBeDefined();
    expect(dueOf(entry!, harmlessContent)).toEqual([60_000, 60_000]);
    await clock.advance(60_000);
    expect(await entry!.takeTrial(harmlessContent, "sample")).toBeDefined();
    await clock.advance(10);
    crashEngine("vm-3", harmlessContent);
    expect(dueOf(entry!, harmlessContent)[0]).toBeGreaterThan(3_500_000);
});

test("a clean finish also clears a trial recorded by an entry whose clock is ahead", async () => {
    // Guards against a content that just finished cleanly waiting an hour after its next two crashes.
    const { clock, entries: [entry], crashEngine } = createFixture(1);
    crashEngine("vm-1", harmlessContent, digestOf("a"));
    crashEngine("vm-2", harmlessContent, digestOf("b"));
    const [record] = entry!.list().filter(each => each.digest === harmlessContent);
    const trials = [{ trial: "t" as TrialId, atMs: clock.wallMs() + 2_000 }];
    entry!.offer({ version: 1, value: { records: [{ ...record!, trials }] } });
    entry!.recordCleanFinish(harmlessContent);
    await clock.advance(3_000);
    crashEngine("vm-3", harmlessContent, digestOf("c"));
    crashEngine("vm-4", harmlessContent, digestOf("d"));
    expect(dueOf(entry!, harmlessContent)).toEqual([5_000, 5_000]);
});

/** Sends crash-inducing contents repeatedly to each entry; counts the samplers that crash in trials, by hour. */
async function countTrialCrashes(names: string[], hours: number): Promise<number[]> {
    const { clock, entries, crashEngine, distribute } = createFixture(3);
    names.forEach((name, index) => {
        crashEngine(`vm-${index}-1`, digestOf(name), digestOf(`beside ${name}`));
        crashEngine(`vm-${index}-2`, digestOf(name), digestOf(`beside ${name} too`));
    });
    const crashes = Array.from({ length: hours }, () => 0);
    const everyMs = 20_000;
    for (let atMs = 0; atMs < hours * hourMs; atMs += everyMs) {
        for (const entry of entries) {
            for (const name of names.map(digestOf)) {
                if (entry.isRefused(name) && await entry.takeTrial(name, "sample") !== undefined) {
                    crashEngine(`vm-${atMs}-${name}`, name);
                    crashes[Math.floor(atMs / hourMs)]!++;
                }
                distribute();
            }
        }
        await clock.advance(everyMs);
    }
    return crashes;
}

test("a crash-inducing content retried forever crashes five more samplers in a day after the first two", async () => {
    // Trials at 0, 1, 3, 7 and 15 h; the next would be at 31 h. The record expires 24 h after its last crash.
    const crashesPerHour = await countTrialCrashes(["killer"], 24);
    expect(crashesPerHour.map((count, hour) => count > 0 ? hour : -1).filter(hour => hour >= 0))
        .toEqual([0, 1, 3, 7, 15]);
    expect(Math.max(...crashesPerHour)).toBe(1);
});

test("many crash-inducing contents together crash three samplers an hour", async () => {
    // Target: under 1 % of the samplers' time in a deployment of six, with each crash costing a minute.
    const crashesPerHour = await countTrialCrashes(["a", "b", "c", "d", "e", "f", "g", "h"], 6);
    expect(Math.max(...crashesPerHour)).toBe(3);
});

test("crash-inducing contents retried forever leave a trial to a content never alone at a crash", async () => {
    // Guards against a step that waits an hour for its last sample.
    const { clock, entries: [entry], crashEngine } = createFixture(1);
    const crashInducing = ["a", "b", "c", "d"].map(digestOf);
    crashInducing.forEach((content, index) => {
        crashEngine(`vm-${index}-1`, content);
        crashEngine(`vm-${index}-2`, content);
    });
    const runDue = async (): Promise<void> => {
        for (const content of crashInducing) {
            if (await entry!.takeTrial(content, "sample") !== undefined) {
                crashEngine(`vm-of-${content}`, content);
            }
        }
    };
    const waits: number[] = [];
    for (let minute = 0; minute < 6 * 60; minute++) {
        await clock.advance(60_000);
        await runDue();
        if (minute % 10 === 9) {
            const harmless = digestOf(`harmless ${minute}`);
            crashEngine("vm-1", harmless, digestOf(`beside ${minute}`));
            crashEngine("vm-2", harmless, digestOf(`beside it too ${minute}`));
            waits.push(entry!.trialDueInMs(harmless, "sample"));
        }
    }
    expect(Math.max(...waits)).toBe(5_000);
});
