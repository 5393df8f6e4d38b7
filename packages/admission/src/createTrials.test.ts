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
const innocent = digestOf("innocent");

function createFixture(entryCount: number) {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(1) });
    const entries = Array.from(
        { length: entryCount },
        (_, seed) => createQuarantine({ store, clock, random: createRandom(seed + 2), logger: silent }),
    );
    let boots = 0;

    /** An engine dies with these contents in flight, and every entry hears of it from the sampler's report. */
    function die(vm: string, ...names: ContentDigest[]): void {
        const death = { vm: vm as VmId, bootId: `boot-${boots++}`, contents: names.length };
        const suspects = names.map(digest => ({ digest, deaths: [death] }));
        entries.forEach(entry => entry.recordSuspects({ suspects }));
    }

    /** What one entry wrote reaches the others. */
    function spread(): void {
        const document = { version: control.revision(), value: control.peek("quarantine") };
        entries.forEach(entry => entry.offer(document));
    }

    return { clock, control, entries, die, spread };
}

const dueOf = (entry: Quarantine, digest: ContentDigest): [number, number] => [
    entry.trialDueInMs(digest, "sample"),
    entry.trialDueInMs(digest, "request"),
];

test("a refused content that was never alone at a death runs once more and is free everywhere", async () => {
    // Guards against: a step never ends.
    const { clock, entries: [first, second], die, spread } = createFixture(2);
    die("vm-1", innocent, digestOf("killer"));
    die("vm-2", innocent, digestOf("other"));
    die("vm-3", innocent, digestOf("third"));
    expect(first!.isRefused(innocent)).toBe(true);
    expect(dueOf(first!, innocent)).toEqual([5_000, 5_000]);
    expect(await first!.takeTrial(innocent, "sample")).toBeUndefined();
    await clock.advance(5_000);
    expect(await first!.takeTrial(innocent, "sample")).toBeDefined();
    spread();
    // One run, not one at each entry.
    expect(await second!.takeTrial(innocent, "sample")).toBeUndefined();
    await clock.advance(200);
    first!.recordCleanFinish(innocent);
    await first!.publish();
    spread();
    expect([first!, second!].map(entry => entry.isRefused(innocent))).toEqual([false, false]);
});

test("company that is cleared later was company all the same", async () => {
    // Guards against: an innocent content is taken for a proven killer.
    const { clock, entries: [entry], die } = createFixture(1);
    die("vm-1", innocent, digestOf("beside"));
    die("vm-2", innocent, digestOf("beside too"));
    entry!.recordCleanFinish(digestOf("beside"));
    entry!.recordCleanFinish(digestOf("beside too"));
    await clock.advance(5_000);
    expect(dueOf(entry!, innocent)).toEqual([0, 0]);
});

test("a content that was alone at two deaths waits: a sample a minute, a request an hour", () => {
    const { entries: [entry], die } = createFixture(1);
    die("vm-1", innocent);
    die("vm-2", innocent);
    expect(dueOf(entry!, innocent)).toEqual([60_000, hourMs]);
});

test("entries that decide at once have one trial between them", async () => {
    const { clock, entries, die } = createFixture(4);
    die("vm-1", innocent, digestOf("a"));
    die("vm-2", innocent, digestOf("b"));
    await clock.advance(5_000);
    const taken = await Promise.all(entries.map(entry => entry.takeTrial(innocent, "sample")));
    expect(taken.filter(trial => trial !== undefined)).toHaveLength(1);
});

test("a trial that did not run is the next request's", async () => {
    const { clock, entries: [entry], die } = createFixture(1);
    die("vm-1", innocent, digestOf("a"));
    die("vm-2", innocent, digestOf("b"));
    await clock.advance(5_000);
    const trial = await entry!.takeTrial(innocent, "request");
    entry!.returnTrial(innocent, trial!);
    expect(dueOf(entry!, innocent)).toEqual([0, 0]);
    expect(await entry!.takeTrial(innocent, "request")).toBe(trial);
    expect(await entry!.takeTrial(innocent, "request")).toBeUndefined();
});

test("the object API is down, and then the answer to the write is lost", async () => {
    // Guards against: an innocent content waits an hour for its trial.
    const { clock, control, entries: [entry], die } = createFixture(1);
    die("vm-1", innocent, digestOf("a"));
    die("vm-2", innocent, digestOf("b"));
    await clock.advance(5_000);
    control.setOutage(true);
    expect(await entry!.takeTrial(innocent, "sample")).toBeUndefined();
    control.setOutage(false);
    control.loseAnswers(1);
    expect(await entry!.takeTrial(innocent, "sample")).toBeUndefined();
    expect(await entry!.takeTrial(innocent, "sample")).toBeDefined();
    expect(entry!.list().flatMap(record => record.trials ?? [])).toHaveLength(1);
});

test("a trial that told nothing is repeated after a minute", async () => {
    // Guards against: a step never ends.
    const { clock, entries: [entry], die } = createFixture(1);
    die("vm-1", innocent, digestOf("a"));
    die("vm-2", innocent, digestOf("b"));
    await clock.advance(5_000);
    expect(await entry!.takeTrial(innocent, "sample")).toBeDefined();
    expect(dueOf(entry!, innocent)).toEqual([60_000, 60_000]);
    await clock.advance(60_000);
    expect(await entry!.takeTrial(innocent, "sample")).toBeDefined();
    await clock.advance(10);
    die("vm-3", innocent);
    expect(dueOf(entry!, innocent)[0]).toBeGreaterThan(3_500_000);
});

test("a clean end also settles a trial of an entry whose clock is ahead", async () => {
    // Guards against: a content that has just proved harmless waits an hour after its next two deaths.
    const { clock, entries: [entry], die } = createFixture(1);
    die("vm-1", innocent, digestOf("a"));
    die("vm-2", innocent, digestOf("b"));
    const [record] = entry!.list().filter(each => each.digest === innocent);
    const trials = [{ trial: "t" as TrialId, atMs: clock.wallMs() + 2_000 }];
    entry!.offer({ version: 1, value: { records: [{ ...record!, trials }] } });
    entry!.recordCleanFinish(innocent);
    await clock.advance(3_000);
    die("vm-3", innocent, digestOf("c"));
    die("vm-4", innocent, digestOf("d"));
    expect(dueOf(entry!, innocent)).toEqual([5_000, 5_000]);
});

/** Killers are sent again and again to each entry; counts the samplers that die in trials, by hour. */
async function countTrialCrashes(names: string[], hours: number): Promise<number[]> {
    const { clock, entries, die, spread } = createFixture(3);
    names.forEach((name, index) => {
        die(`vm-${index}-1`, digestOf(name), digestOf(`beside ${name}`));
        die(`vm-${index}-2`, digestOf(name), digestOf(`beside ${name} too`));
    });
    const crashes = Array.from({ length: hours }, () => 0);
    const everyMs = 20_000;
    for (let atMs = 0; atMs < hours * hourMs; atMs += everyMs) {
        for (const entry of entries) {
            for (const name of names.map(digestOf)) {
                if (entry.isRefused(name) && await entry.takeTrial(name, "sample") !== undefined) {
                    die(`vm-${atMs}-${name}`, name);
                    crashes[Math.floor(atMs / hourMs)]!++;
                }
                spread();
            }
        }
        await clock.advance(everyMs);
    }
    return crashes;
}

test("a killer whose sender never gives up costs five samplers in a day beyond the first two", async () => {
    // The waits after trials at 0, 1, 3, 7 and 15 h end at 31 h; the record lives 24 h from its last death.
    const deaths = await countTrialCrashes(["killer"], 24);
    expect(deaths.map((count, hour) => count > 0 ? hour : -1).filter(hour => hour >= 0))
        .toEqual([0, 1, 3, 7, 15]);
    expect(Math.max(...deaths)).toBe(1);
});

test("many killers together cost three samplers an hour", async () => {
    // Aim: under 1 % of the samplers' time at a site of six, each death costing a minute.
    const deaths = await countTrialCrashes(["a", "b", "c", "d", "e", "f", "g", "h"], 6);
    expect(Math.max(...deaths)).toBe(3);
});

test("killers whose senders never give up leave a trial to a content that was never alone at a death", async () => {
    // Guards against: a step waits an hour for its last sample.
    const { clock, entries: [entry], die } = createFixture(1);
    const killers = ["a", "b", "c", "d"].map(digestOf);
    killers.forEach((killer, index) => {
        die(`vm-${index}-1`, killer);
        die(`vm-${index}-2`, killer);
    });
    const runDue = async (): Promise<void> => {
        for (const killer of killers) {
            if (await entry!.takeTrial(killer, "sample") !== undefined) {
                die(`vm-of-${killer}`, killer);
            }
        }
    };
    const waits: number[] = [];
    for (let minute = 0; minute < 6 * 60; minute++) {
        await clock.advance(60_000);
        await runDue();
        if (minute % 10 === 9) {
            const harmless = digestOf(`harmless ${minute}`);
            die("vm-1", harmless, digestOf(`beside ${minute}`));
            die("vm-2", harmless, digestOf(`beside it too ${minute}`));
            waits.push(entry!.trialDueInMs(harmless, "sample"));
        }
    }
    expect(Math.max(...waits)).toBe(5_000);
});
