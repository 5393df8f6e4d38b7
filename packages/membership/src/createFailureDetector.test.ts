import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { expect, test } from "vitest";
import { createFailureDetector } from "./createFailureDetector.js";
import { createRunningTime } from "./createRunningTime.js";
import { defaultMembershipTiming } from "./defaultMembershipTiming.js";

const subjects = Array.from({ length: 10 }, (_, at) => `sampler-${at}`);

async function build() {
    const clock = createFakeClock();
    const runningTime = createRunningTime(clock, 1_000);
    const detector = createFailureDetector(runningTime.nowMs, defaultMembershipTiming);
    const advanceWithSigns = async (seconds: number, from: readonly string[]): Promise<void> => {
        for (let second = 0; second < seconds; second++) {
            runningTime.tick();
            from.forEach(detector.recordAlive);
            await clock.advance(1_000);
        }
    };
    const suspected = (): string[] =>
        [...detector.judge()].filter(([, v]) => v.suspected).map(([name]) => name);
    await advanceWithSigns(30, subjects);
    return { clock, detector, advanceWithSigns, suspected };
}

test("a subject that falls silent alone is suspected within seconds and trusted again when it returns", async () => {
    const { advanceWithSigns, suspected } = await build();
    await advanceWithSigns(4, subjects.slice(1));
    expect(suspected()).toEqual([]);
    await advanceWithSigns(3, subjects.slice(1));
    expect(suspected()).toEqual(["sampler-0"]);
    await advanceWithSigns(1, subjects);
    expect(suspected()).toEqual([]);
});

test("a process that was paused suspects no subject", async () => {
    // Guards against suspecting all samplers, and refusing every request, after the process was paused for minutes.
    const { clock, suspected, advanceWithSigns } = await build();
    await clock.advance(300_000);
    expect(suspected()).toEqual([]);
    await advanceWithSigns(2, subjects);
    expect(suspected()).toEqual([]);
});

test("silence suspects no subject when most subjects fall silent at once", async () => {
    // Guards against an entry suspecting the whole fleet because its own network link failed.
    const { advanceWithSigns, suspected } = await build();
    await advanceWithSigns(60, subjects.slice(0, 2));
    expect(suspected()).toEqual([]);
});

test("failed connections suspect at most half of the subjects, the longest silent first", async () => {
    const { advanceWithSigns, detector, suspected } = await build();
    await advanceWithSigns(2, subjects.slice(0, 7));
    subjects.forEach(name => [1, 2].forEach(() => detector.recordFailedConnection(name)));
    expect(suspected()).toHaveLength(5);
    expect(suspected()).toEqual(expect.arrayContaining(subjects.slice(7)));
});

test("a subject whose signs of life always arrive late is not suspected", async () => {
    const { advanceWithSigns, detector, suspected, clock } = await build();
    for (let round = 0; round < 12; round++) {
        await advanceWithSigns(6, subjects.slice(1));
        detector.recordAlive("sampler-0");
        await clock.advance(0);
    }
    await advanceWithSigns(6, subjects.slice(1));
    expect(suspected()).toEqual([]);
});

test("two of ten subjects that fall silent together are both suspected", async () => {
    const { advanceWithSigns, suspected } = await build();
    await advanceWithSigns(10, subjects.slice(2));
    expect(suspected()).toEqual(["sampler-0", "sampler-1"]);
});
