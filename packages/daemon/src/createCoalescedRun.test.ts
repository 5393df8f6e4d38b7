import { expect, test } from "vitest";
import { createCoalescedRun } from "./createCoalescedRun.js";

function createFixture() {
    const events: string[] = [];
    const finishRuns: (() => void)[] = [];
    const request = createCoalescedRun(async (name: string) => {
        events.push(`start ${name}`);
        await new Promise<void>(resolve => finishRuns.push(resolve));
        events.push(`end ${name}`);
        if (name === "bad") {
            throw new Error("failed");
        }
    });
    const finish = async (): Promise<void> => {
        finishRuns.shift()!();
        await new Promise(resolve => setImmediate(resolve));
    };
    return { events, request, finish };
}

test("calls during a run share one run after it", async () => {
    const { events, request, finish } = createFixture();
    const done = ["a", "b", "c"].map(request);
    await finish();
    await finish();
    await Promise.all(done);
    expect(events).toEqual(["start a", "end a", "start b", "end b"]);
    const last = request("d");
    await finish();
    await last;
    expect(events.slice(4)).toEqual(["start d", "end d"]);
});

test("a call after a run that failed starts another run", async () => {
    const { events, request, finish } = createFixture();
    const failed = request("bad");
    const following = request("good");
    const outcome = expect(failed).rejects.toThrow("failed");
    await finish();
    await outcome;
    await finish();
    await following;
    expect(events).toEqual(["start bad", "end bad", "start good", "end good"]);
});
